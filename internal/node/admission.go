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

// accountWeights returns the weights of the catalog's accounts.
func accountWeights(cat *workflow.Catalog) map[string]float64 {
	weights := make(map[string]float64, len(cat.Accounts))
	for name, a := range cat.Accounts {
		weights[name] = a.Weight
	}
	return weights
}

// admit reserves memory for the jobs among the records. It returns an *intake.RejectedError if
// there is none, or if a job can't be of use any more when its turn comes; nothing is reserved
// and nothing is written then. Otherwise release ends the reservations, see
// intake.JobRoom.Release. Callers write one job at a time.
func (n *Node) admit(records []store.Record) (release func(mayBeWritten bool), err error) {
	var reserved []string
	release = func(mayBeWritten bool) {
		for _, id := range reserved {
			n.table.room.Release(id, mayBeWritten, time.Now())
		}
	}
	for _, r := range records {
		id, isJob := strings.CutPrefix(r.Key, jobKeyPrefix)
		if !isJob {
			continue
		}
		var job workflow.Job
		if err := json.Unmarshal(r.Value, &job); err != nil {
			continue // whoever reads the log reports it
		}
		if _, known := n.table.lookup(id); known {
			continue // a repeated submission of an accepted job, which runs
		}
		if admission := n.admission.Load(); admission != nil {
			if after, reject := admission.Reject(&job, time.Now().UnixMilli()); reject {
				release(false)
				return nil, errors.WithStack(&intake.RejectedError{Reason: reasonAccountBacklog, RetryAfter: after})
			}
		}
		if rejected := n.reserve(id, &job); rejected != nil {
			release(false)
			return nil, errors.WithStack(rejected)
		}
		reserved = append(reserved, id)
	}
	return release, nil
}

// reserve reserves memory for a job at the leader.
func (n *Node) reserve(id string, job *workflow.Job) *intake.RejectedError {
	room, now := n.table.room, time.Now()
	if rejected := room.Reserve(id, job.Account, job.MemoryBytes(), now); rejected != nil {
		return rejected
	}
	// The table may still lack what the previous leader has written.
	if !n.dispatching.Load() && !room.AllowUncounted(id, 1) {
		room.Release(id, false, now)
		return &intake.RejectedError{Reason: intake.ReasonJobTableFull, RetryAfter: retryAfter}
	}
	return nil
}
