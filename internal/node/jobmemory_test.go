package node

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestJobMemoryIsCounted guards against accepted jobs that take more memory, in the table and
// at the leader, than they are counted for. Their table is read back in one piece.
func TestJobMemoryIsCounted(t *testing.T) {
	steps := func(n int, s workflow.Step) []workflow.Step {
		out := make([]workflow.Step, n)
		for i := range out {
			out[i] = s
		}
		return out
	}
	wide := workflow.Step{Count: 20, Size: workflow.Size{MilliCPU: 1000, MemoryMiB: 256}, EstimateMillis: 900}
	due := workflow.Job{Steps: steps(2, wide), ScheduledOccurrences: workflow.MaxOccurrences, FirstDueMillis: 1}
	kinds := map[string]struct {
		jobs  int
		job   workflow.Job
		final string
	}{
		"one step":         {3000, workflow.Job{Steps: steps(1, wide)}, ""},
		"two steps":        {3000, workflow.Job{Steps: []workflow.Step{wide, {Count: 3, DependsOn: []int{0}}}}, ""},
		"many steps":       {40, workflow.Job{Steps: steps(workflow.MaxSteps, workflow.Step{Count: 1})}, ""},
		"many tasks":       {40, workflow.Job{Steps: steps(workflow.MaxSteps, wide)}, ""},
		"long labels":      {20, workflow.Job{Steps: steps(workflow.MaxSteps, workflow.Step{Count: 1, Requires: strings.Repeat("x", 200)})}, ""},
		"long text":        {1000, workflow.Job{Spec: strings.Repeat("x", workflow.MaxSpecBytes), Steps: steps(1, wide)}, ""},
		"bounded per host": {40, workflow.Job{Steps: steps(workflow.MaxSteps, workflow.Step{Count: 1, MaxPerWorker: 1})}, ""},
		"many occurrences": {20, due, ""},
		"ended":            {3000, workflow.Job{Steps: steps(2, wide)}, `{"s":true,"f":"completed","e":1}`},
	}
	for name, k := range kinds {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			queue := &workflow.Queue{Name: "queue-of-the-test", Host: "jobs.example", Prefix: "/queue", Pool: "pool-of-the-test", Attempts: 2}
			k.job.Queue, k.job.QueueSnapshot, k.job.AcceptedMillis = queue.Name, queue, time.Now().UnixMilli()
			before := heapBytes()
			table := newJobTable()
			core := dispatch.New(dispatch.Settings{StatusRetention: time.Hour, MaxLease: time.Second}, time.Minute, time.Now().UnixMilli())
			var events []dispatch.Event
			for i := range k.jobs {
				id := fmt.Sprintf("%016x", i)
				value, err := json.Marshal(k.job)
				g.Expect(err).NotTo(HaveOccurred())
				records := []store.Record{{Key: jobKeyPrefix + id, Value: value}}
				if k.final != "" {
					if records[0].Value, err = json.Marshal(k.job.Summary()); err != nil {
						t.Fatal(err)
					}
					records = append(records, store.Record{Key: progressKeyPrefix + id, Value: []byte(k.final)})
				}
				table.apply(withOffsets(int64(2*i), records...), int64(2*i+2))
				e := table.entries[id]
				events = append(events, dispatch.JobAccepted{Job: e.job, Offset: e.offset, Progress: e.progress})
			}
			core.Step(time.Minute, time.Now().UnixMilli(), events...)
			events = nil
			core.Step(time.Minute+time.Second, time.Now().UnixMilli(), dispatch.LeadershipConfirmed{Until: time.Hour})
			grown, counted := heapBytes()-before, table.room.Held()
			t.Logf("%d bytes a job, counted %d", grown/int64(k.jobs), counted/int64(k.jobs))
			g.Expect(grown).To(BeNumerically("<=", counted))
			runtime.KeepAlive(table)
			runtime.KeepAlive(core)
		})
	}
}
