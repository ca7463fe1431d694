//go:build review

package main

import (
	"fmt"
	"time"
)

// gpuJob is a step of one task that needs all of a runner.
func gpuJob(estimate time.Duration) map[string]any {
	return map[string]any{"count": 1, "cpu": 60000, "memMb": 100000, "gpu": 8, "estimateMs": estimate.Milliseconds()}
}

// crashedTwice: the runner that works on a job's only task crashes, and so does, seconds
// later, the runner on which the task was started again. One runner of ten is away at a time.
func crashedTwice(s *site) {
	const id, task = "00000000000000a1", "00000000000000a1.0.0.0"
	work := 6 * time.Second
	s.submit(id, "long", work, gpuJob(work))
	first := s.awaitRun(task, 5*time.Second)
	if s.trouble {
		time.Sleep(2500 * time.Millisecond)
		first.crash()
		time.AfterFunc(4*time.Second, first.start)
		second := s.awaitRun(task, 10*time.Second, first)
		time.Sleep(2500 * time.Millisecond)
		second.crash()
		time.AfterFunc(4*time.Second, second.start)
	}
	for range 40 {
		time.Sleep(500 * time.Millisecond)
		switch state := s.state(id); state {
		case "completed":
			return
		case "failed":
			if n := s.ends[task+" failed"]; n < 4 {
				s.broke("LOST: job %s, which nobody cancelled, is shown as failed; %d runs of its task ended failed, and its queue has 4 attempts", id, n)
			}
			return
		case "cancelled":
			s.broke("LOST: job %s is shown as cancelled", id)
			return
		}
	}
	s.fail("the job is neither completed nor failed after 20 s")
}

// lateReborn: one start gets no answer and is carried out six seconds later, as one of some
// thirty orders. The runner crashes two seconds after it was sent, and is back under its ID one
// second after that.
func lateReborn(s *site) {
	const id, task = "00000000000000b1", "00000000000000b1.0.0.0"
	work := 9 * time.Second
	if s.trouble {
		s.mu.Lock()
		s.lateTask, s.lateBy = task, 6*time.Second
		s.mu.Unlock()
	}
	for i := range 5 {
		s.submit(fmt.Sprintf("00000000000000c%d", i), "short", 700*time.Millisecond,
			map[string]any{"count": 6, "cpu": 1000, "memMb": 1000, "estimateMs": 700})
	}
	s.submit(id, "long", work, gpuJob(work))
	if s.trouble {
		var m *machine
		s.await(5*time.Second, "no start came", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			m = s.lateAt
			return m != nil
		})
		time.Sleep(2 * time.Second)
		m.crash()
		time.Sleep(time.Second)
		m.start()
	}
	s.awaitState(id, 25*time.Second, "completed")
	time.Sleep(200 * time.Millisecond)
}
