package node

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// admissionInterval is the least time between two updates of the leader's admission.
const admissionInterval = 50 * time.Millisecond

// reasonAccountBacklog is the reason of rejections of jobs that would wait in the backlog of
// their account for too long.
const reasonAccountBacklog = "account-backlog"

// publishAdmission makes the dispatcher's admission known to the goroutines that take
// records for the log.
func (n *Node) publishAdmission(t *term) {
	if now := n.uptime(); now-t.admissionAt >= admissionInterval {
		t.admissionAt = now
		n.admission.Store(t.dispatcher.Admission())
	}
}

// admit returns an *intake.RejectedError if a job among the records can't be of use any more
// when its turn comes. Nothing is written then. Callers write one job at a time.
func (n *Node) admit(records []store.Record) error {
	admission := n.admission.Load()
	if admission == nil {
		return nil
	}
	for _, r := range records {
		if !strings.HasPrefix(r.Key, jobKeyPrefix) {
			continue
		}
		var job workflow.Job
		if err := json.Unmarshal(r.Value, &job); err != nil {
			continue // whoever reads the log reports it
		}
		if _, known := n.table.lookup(strings.TrimPrefix(r.Key, jobKeyPrefix)); known {
			continue // a repeated submission of an accepted job, which runs
		}
		if after, reject := admission.Reject(&job, time.Now().UnixMilli()); reject {
			return errors.WithStack(&intake.RejectedError{Reason: reasonAccountBacklog, RetryAfter: after})
		}
	}
	return nil
}
