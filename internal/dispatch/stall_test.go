package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// acceptSmall brings a job of one task of which ten fit on a worker.
func (b *bed) acceptSmall(id string, offset int64) {
	b.next = append(b.next, JobAccepted{Offset: offset, Job: &workflow.Job{ID: id, Queue: "q", Spec: "s",
		Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 100}}}}})
}

func TestRunIsNotStalledWhileItsWorkersListIsOld(t *testing.T) {
	b := newBed(t, "w1")
	b.list()
	b.acceptSmall("works", 1)
	b.run(2 * time.Second)
	b.workers["w1"].waits = true // its next list is on the way for long
	for i := range 5 {
		b.acceptSmall("later"+string(rune('0'+i)), int64(2+i))
		b.run(400 * time.Millisecond)
	}
	b.Expect(b.starts).To(HaveLen(6), "the worker answers starts")
	b.Expect(b.stops).To(BeEmpty(), "runs of which no list says that they stand still")
}

// acceptGang brings a gang of one task on each of two workers, which both run.
func acceptGang(t *testing.T) *bed {
	b := newBed(t, "w1", "w2")
	b.list()
	b.accept("gang", 1, workflow.Step{Count: 2, Gang: true}, workflow.Progress{})
	b.run(time.Second)
	b.Expect(b.startsOn("gang")).To(ConsistOf("w1", "w2"))
	return b
}

func TestGangIsNotStalledWhileAMemberThatIsThroughWaitsForTheOthers(t *testing.T) {
	b := acceptGang(t)
	b.workers["w1"].stands = 100
	b.run(5 * time.Second)
	b.Expect(b.stops).To(BeEmpty(), "members that get on or are through")
}

func TestGangIsStalledWhenNoMemberGetsOn(t *testing.T) {
	b := acceptGang(t)
	b.workers["w1"].stands, b.workers["w2"].stands = 100, 50
	b.run(5 * time.Second)
	b.Expect(b.stops).NotTo(BeEmpty())
}

func TestGangIsNotStalledWhileAMembersListIsOld(t *testing.T) {
	b := acceptGang(t)
	b.workers["w1"].stands = 100
	b.run(time.Second)
	b.workers["w2"].waits = true // its next list is on the way for long
	b.run(2 * time.Second)
	b.Expect(b.stops).To(BeEmpty())
}
