package node

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// numbered gives records their offsets, from the given one on.
func numbered(from int64, records ...store.Record) []store.Numbered {
	var out []store.Numbered
	for i, r := range records {
		out = append(out, store.Numbered{Offset: from + int64(i), Record: r})
	}
	return out
}

func jobRecord(g *WithT, id, spec string) store.Record {
	job := oneTask(id)
	job.Queue, job.Spec = "plain", spec
	b, err := json.Marshal(job)
	g.Expect(err).NotTo(HaveOccurred())
	return store.Record{Key: jobKey + id, Value: b}
}

func TestCommitThatReleasesAndEngagesAWorkerLeavesItEngaged(t *testing.T) {
	g := NewWithT(t)
	records, err := commitRecords(dispatch.Commit{Engaged: []dispatch.Engagement{{Worker: "w1", Born: 2}}, Released: []string{"w1", "w2"}})
	g.Expect(err).NotTo(HaveOccurred())
	tab := newTable()
	tab.apply(numbered(0, records...), int64(len(records)))
	g.Expect(tab.engaged).To(HaveKey("w1"), "a life of before was released")
	g.Expect(tab.engaged["w1"].Born).To(Equal(int64(2)))
}

func TestPendingCountsJobsOfWhichNothingHasStarted(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	progress := func(id string, p workflow.Progress) store.Record {
		b, err := json.Marshal(p)
		g.Expect(err).NotTo(HaveOccurred())
		return store.Record{Key: progressKey + id, Value: b}
	}
	tab.apply(numbered(0, jobRecord(g, "a", ""), jobRecord(g, "b", ""), jobRecord(g, "c", ""), jobRecord(g, "d", ""), jobRecord(g, "a", "")), 5)
	g.Expect(tab.pendingOf("plain")).To(Equal(4))
	tab.apply(numbered(5, progress("a", workflow.Progress{Started: true}), store.Record{Key: cancelKey + "b", Value: []byte("{}")},
		progress("c", workflow.Progress{Final: workflow.Failed}), progress("a", workflow.Progress{Started: true, Finished: 1})), 9)
	g.Expect(tab.pendingOf("plain")).To(Equal(1))
	tab.apply(numbered(9, store.Record{Key: jobKey + "d"}, store.Record{Key: jobKey + "a"}), 11)
	g.Expect(tab.pendingOf("plain")).To(BeZero())
}
