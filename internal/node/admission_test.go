package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// backlogAdmission returns an admission that rejects excess jobs of account a.
func backlogAdmission(now time.Time) *dispatch.Admission {
	c := dispatch.New(dispatch.Settings{Lease: time.Second}, time.Hour, now.UnixMilli())
	c.Step(time.Hour, now.UnixMilli(), dispatch.CatalogChanged{Catalog: &workflow.Catalog{Accounts: map[string]workflow.Account{"a": {Name: "a", Weight: 0.0005}}}},
		dispatch.LeadershipConfirmed{Until: 2 * time.Hour})
	// Two jobs use up the bucket for half an hour, however long the test takes.
	for i, id := range []string{"first", "second", "excess"} {
		accepted := now.Add(time.Duration(min(i, 1)-1) * time.Millisecond)
		c.Step(time.Hour, now.UnixMilli(), dispatch.JobAccepted{Job: accountJob(id, accepted), Offset: int64(i + 1)})
	}
	c.Step(time.Hour+30*time.Second, now.UnixMilli()+30_000)
	return c.Admission()
}

func accountJob(id string, at time.Time) *workflow.Job {
	return &workflow.Job{ID: id, Account: "a", Queue: "q", QueueSnapshot: &workflow.Queue{Name: "q", Pool: "p"}, AcceptedMillis: at.UnixMilli(),
		Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 1}, EstimateMillis: 10}}}
}

// A rejection means that the job never runs. A repeated submission of a job that is in the
// log must not be rejected, whatever backlog its account has by then.
func TestAcceptedJobIsNotRejected(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	n := &Node{table: newJobTable()}
	n.admission.Store(backlogAdmission(now))
	value, err := json.Marshal(accountJob("j", now))
	g.Expect(err).NotTo(HaveOccurred())
	records := []store.Record{{Key: jobKeyPrefix + "j", Value: value}}
	var rejected *intake.RejectedError
	_, err = n.admit(records)
	g.Expect(errors.As(err, &rejected)).To(BeTrue())
	g.Expect(rejected.RetryAfter).To(BeNumerically(">", 0))
	n.table.apply(withOffsets(0, records...), 1)
	_, err = n.admit(records)
	g.Expect(err).NotTo(HaveOccurred())
}

// A rejection by one leader counts only if nothing else may have written the record: another
// leader or the direct write may still succeed, and the job then runs.
func TestRejectionCountsOnlyAlone(t *testing.T) {
	g := NewWithT(t)
	rejection := &intake.RejectedError{Reason: reasonAccountBacklog, RetryAfter: time.Second}
	calls := make(chan chan error, maxLeaderWrites)
	desk := newJobAPI(nil, newJobTable(), func(string, string) {}, func(context.Context, store.Record) (bool, error) {
		answer := make(chan error)
		calls <- answer
		err := <-answer
		return err == nil, err
	})
	asked := 0
	desk.currentLeader = func() string { // "one" at first, then its successor
		if asked++; asked == 1 {
			return "one"
		}
		return "two"
	}
	desk.leaderCanWrite = func(context.Context) bool { return true }
	// The direct write stays without an answer.
	desk.directWriter = newJobLogWriter(nil, 0, newAppendLimits(&Settings{}), &failoverReader{}, nil, desk.count, nil)
	type result struct {
		outcome  writeOutcome
		rejected *intake.RejectedError
	}
	done := make(chan result, 1)
	go func() {
		o, r := desk.hedgedWrite(t.Context(), store.Record{Key: "k"})
		done <- result{o, r}
	}()
	first := <-calls
	second := <-calls // after the delay of the next attempt
	second <- rejection
	g.Consistently(done, 100*time.Millisecond).ShouldNot(Receive())
	first <- nil
	g.Eventually(done).Should(Receive(Equal(result{writeDone, nil})))

	go func() {
		o, r := desk.hedgedWrite(t.Context(), store.Record{Key: "k"})
		done <- result{o, r}
	}()
	(<-calls) <- rejection
	g.Eventually(done).Should(Receive(Equal(result{writeRejected, rejection})))
}

// A busy dispatcher waits for more events, one with little to do doesn't.
func TestStepRate(t *testing.T) {
	g := NewWithT(t)
	var r stepRate
	now := time.Hour
	step := func(gap time.Duration, n int) {
		for range n {
			now += gap
			r.record(now)
		}
	}
	step(5*time.Millisecond, 100)
	g.Expect(r.gap(now)).To(BeZero())
	step(time.Millisecond, 250)
	g.Expect(r.gap(now)).To(Equal(busyStepGap))
	g.Expect(r.gap(now + time.Second)).To(BeNumerically("<=", 0))
	step(busyStepGap, 150)
	g.Expect(r.gap(now)).To(Equal(busyStepGap), "the gap itself leaves fewer steps")
	step(5*time.Millisecond, 100)
	g.Expect(r.gap(now)).To(BeZero())
}
