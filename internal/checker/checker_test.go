package checker_test

import (
	"testing"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// one is the size of a machine's only core.
var one = resource.Vector{MilliCPU: 1000}

// breaks holds, for each promise, what a checker has to notice.
var breaks = map[string]struct {
	promise checker.Promise
	play    func(*checker.Tasks, *checker.Requests, *checker.Changes)
}{
	"two tasks on one core": {checker.Capacity, func(t *checker.Tasks, _ *checker.Requests, _ *checker.Changes) {
		t.Machine("m", one)
		t.Started(0, "m", "a", 1, one)
		t.Started(1, "m", "b", 2, one)
	}},
	"a task on two machines": {checker.OnePlace, func(t *checker.Tasks, _ *checker.Requests, _ *checker.Changes) {
		t.Machine("m", one)
		t.Machine("n", one)
		t.Started(0, "m", "a", 1, one)
		t.Started(1, "n", "a", 2, one)
	}},
	"another's answer": {checker.WholeAnswer, func(_ *checker.Tasks, r *checker.Requests, _ *checker.Changes) {
		r.Told(0, checker.Request{Number: 1}, checker.ToldAnswer, checker.Request{Number: 2}.Body())
	}},
	"two answers": {checker.WholeAnswer, func(_ *checker.Tasks, r *checker.Requests, _ *checker.Changes) {
		q := checker.Request{Number: 1}
		r.Told(0, q, checker.ToldAnswer, q.Body())
		r.Told(0, q, checker.ToldAnswer, q.Body())
	}},
	"not run, but ran before": {checker.NotRun, func(_ *checker.Tasks, r *checker.Requests, _ *checker.Changes) {
		r.Ran(0, "r", checker.Request{Number: 1})
		r.Told(1, checker.Request{Number: 1}, checker.ToldNotRun, "")
	}},
	"not run, but runs later": {checker.NotRun, func(_ *checker.Tasks, r *checker.Requests, _ *checker.Changes) {
		r.Told(0, checker.Request{Number: 1}, checker.ToldNotRun, "")
		r.Ran(1, "r", checker.Request{Number: 1})
	}},
	"a key that runs in two tries": {checker.AtMostOnce, func(_ *checker.Tasks, r *checker.Requests, _ *checker.Changes) {
		r.Ran(0, "r", checker.Request{Number: 1, Key: "k"})
		r.Ran(1, "r", checker.Request{Number: 2, Key: "k"})
	}},
	"work for a leaving machine": {checker.Leaving, func(t *checker.Tasks, _ *checker.Requests, _ *checker.Changes) {
		t.Machine("m", one)
		t.Leaving("m", time.Second)
		t.Started(time.Second, "m", "a", 1, one)
	}},
	"a request for a leaving machine": {checker.Leaving, func(t *checker.Tasks, _ *checker.Requests, _ *checker.Changes) {
		t.Leaving("m", time.Second)
		t.Served(time.Second+checker.GrantLease, "m", "r")
	}},
	"a request cut off by a stop": {checker.PlannedStop, func(_ *checker.Tasks, r *checker.Requests, _ *checker.Changes) {
		r.CutOff(0, "r", checker.Request{Number: 1})
	}},
	"two verdicts": {checker.Configuration, func(_ *checker.Tasks, _ *checker.Requests, c *checker.Changes) {
		c.Verdict(0, "h", "x", true, 0, nil)
		c.Verdict(1, "i", "x", false, 0, nil)
	}},
	"a value that reverts": {checker.Configuration, func(_ *checker.Tasks, _ *checker.Requests, c *checker.Changes) {
		c.Verdict(0, "h", "x", true, 0, []checker.Set{{Object: "o", Value: "new"}})
		c.Read(1, "i#1", 1, "o", "old", 0)
	}},
	"a process that goes back": {checker.Configuration, func(_ *checker.Tasks, _ *checker.Requests, c *checker.Changes) {
		c.Read(0, "h#1", 5, "o", "", 0)
		c.Read(1, "h#1", 4, "o", "", 0)
	}},
	"a change that is late": {checker.Configuration, func(_ *checker.Tasks, _ *checker.Requests, c *checker.Changes) {
		c.Verdict(0, "h", "x", true, 3, []checker.Set{{Object: "o", Value: "new"}})
		c.Read(9, "i#1", 3, "o", "old", 5)
	}},
}

// TestNoticesEachBreach plays one history for each kind of breach.
func TestNoticesEachBreach(t *testing.T) {
	seen := map[checker.Promise]bool{}
	for name, b := range breaks {
		tasks, requests, changes := checker.NewTasks(), checker.NewRequests(), checker.NewChanges()
		b.play(tasks, requests, changes)
		all := append(append(tasks.Breaches, requests.Breaches...), changes.Breaches...)
		if len(all) != 1 || all[0].Promise != b.promise {
			t.Errorf("%s: %v", name, all)
		}
		seen[b.promise] = true
	}
	for _, p := range checker.Promises {
		if !seen[p] {
			t.Errorf("no breach of %s is played", p)
		}
	}
}
