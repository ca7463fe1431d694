package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// TestSoundJobsRunBesideServiceAndHopelessJobs guards against workers that take no work any
// more: a service runs on each, and jobs that always fail had them quarantined.
func TestSoundJobsRunBesideServiceAndHopelessJobs(t *testing.T) {
	for seed := uint64(1); seed <= standardOptions.seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, standardOptions)
				defer c.close()
				for _, name := range []string{"a", "b", "c"} {
					c.startNode(name)
				}
				time.Sleep(4 * time.Second)
				service := singleTaskJob("00000000000000f0")
				service.Steps[0].Count, service.Steps[0].MaxPerWorker, service.Steps[0].LongRunning = 6, 1, true
				standing := c.submit(service, "plain")
				for i := range 40 {
					c.submit(singleTaskJob(fmt.Sprintf("%s%015x", failsAlways, i)), "plain")
					time.Sleep(250 * time.Millisecond)
				}
				var sound []*submittedJob
				for i := range 6 {
					sound = append(sound, c.submit(singleTaskJob(fmt.Sprintf("00000000000000b%d", i)), "plain"))
				}
				time.Sleep(15 * time.Second)
				for _, h := range sound {
					state, o := c.running()[0].node.Desk().State(c.ctx, anyCaller, &h.queue, h.job.ID)
					c.Expect(o.Code).To(Equal(intake.OK))
					c.Expect(state).To(Equal(workflow.Completed))
				}
				c.cancelJob(standing)
				c.expectAllJobsEnd()
			})
		})
	}
}
