//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// replacedThenLost: all ten runners are replaced as planned, one after the other, and the
// leader is stopped as planned. Seconds later one runner of ten is lost for good, and the leader
// is stopped as planned again. The lost runner's task lasts, and has to be started again.
func replacedThenLost(s *site) {
	const id, task = "00000000000000a1", "00000000000000a1.0.0.0"
	s.submit(id, "lasts", 500*time.Millisecond, map[string]any{"count": 3, "cpu": 60000, "memMb": 100000, "estimateMs": 60000, "longRunning": true})
	s.awaitRun(task, 5*time.Second)
	old := s.machines
	for i, m := range old {
		s.addMachine(machineCount + i).start()
		time.Sleep(300 * time.Millisecond)
		m.drain()
		time.AfterFunc(2600*time.Millisecond, m.leave)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(4500 * time.Millisecond) // the last one has left, and its entry is gone
	s.stopLeader()
	time.Sleep(5 * time.Second)
	m := s.awaitRun(task, 10*time.Second)
	if s.trouble {
		m.darken()
	}
	time.Sleep(4 * time.Second)
	s.stopLeader()
	// The stopped node is back after 6 s at most. 4 s (contactMs) after that all is calm, and
	// for 3 s more the task may stand still. The lease of its last run is over before.
	time.Sleep(15 * time.Second)
	for range 25 {
		if s.atWork(task) {
			return
		}
		time.Sleep(time.Second)
	}
	s.broke("LOST: task %s is to last, and has not been at work for the last 25 s, all calm, with room for it on seven of nine runners", task)
}

// lostThenStops: one runner of ten is lost for good. The leader is stopped as planned half a
// second later, and the next one nine seconds after that. The lost runner's task lasts.
func lostThenStops(s *site) {
	const id, task = "00000000000000a2", "00000000000000a2.0.0.0"
	s.submit(id, "lasts", 500*time.Millisecond, map[string]any{"count": 3, "cpu": 60000, "memMb": 100000, "estimateMs": 60000, "longRunning": true})
	m := s.awaitRun(task, 5*time.Second)
	time.Sleep(5 * time.Second)
	if s.trouble {
		m.darken()
	}
	time.Sleep(500 * time.Millisecond)
	s.stopLeader()
	time.Sleep(9 * time.Second)
	s.stopLeader()
	// The stopped node has been back for 4 s (contactMs), and the last run has been gone for
	// longer than 6 s.
	s.await(8*time.Second, "the stopped node isn't back", func() bool { return s.allReady() })
	s.record("all nodes are ready")
	time.Sleep(4 * time.Second)
	s.record("4 s of calm")
	for range 31 { // 3 s, and a little more
		if s.atWork(task) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.broke("LOST: task %s is to last, and is not at work for 3 s after 4 s of calm, with room for it on seven of nine runners", task)
	s.awaitRun(task, 30*time.Second)
}

// allReady reports whether all nodes are ready.
func (s *site) allReady() bool {
	for _, n := range s.nodes {
		if status, _ := s.get("http://" + n.ready + "/v1/readyz"); status != 200 {
			return false
		}
	}
	return true
}

// atWork reports whether a run of the task is at work on a runner that is up.
func (s *site) atWork(task string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.live[task]) > 0
}

// stopLeader stops the node that claimed the leadership last, as the platform does it, and
// starts it again after its end.
func (s *site) stopLeader() {
	n := s.leader()
	s.record("SIGTERM to %s, the leader", n.name)
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		s.fail("%v", err)
	}
	go func() {
		cmd := n.cmd
		kill := time.AfterFunc(6*time.Second, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		kill.Stop()
		time.Sleep(500 * time.Millisecond)
		s.startNode(n)
	}()
}

func machineID(i int) string { return fmt.Sprintf("i-%04d", i) }
