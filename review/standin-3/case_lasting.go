package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["lasting"] = lasting }

// lasting: 20 runners, and a job of four tasks that last. One runner (a twentieth) falls silent
// for good, and 1 s later the leader is killed, and started again after 1 s. The rule asks that
// the lost task runs again: counted here from 9 s after its last run, so that the 3 s that are
// judged and the 4 s before them are calm.
func lasting(s *Site, trouble bool) (broken []string) {
	s.service = []string{"svc"}
	s.Route("feeds", "/feeds/", "svc", 1, 3, 2.2, 2500)
	s.Configure(1)
	for i := range 20 {
		s.fleet.Add(fmt.Sprintf("i-%02d", i), "svc", 16000, 65536, "a", fmt.Sprintf("r-%d", i/5))
	}
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		s.AddNode(z).Start()
	}
	s.AwaitReady()
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	s.fleet.Know(id+".0", TaskSpec{Lasting: true})
	if !s.Submit(s.nodes[0], "/feeds/"+id, map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 4, "cpu": 4000, "memMb": 1024, "estimateMs": 500, "longRunning": true, "antiAffinity": 1}}}) {
		fatal(2, "the job wasn't accepted")
	}
	time.Sleep(8 * time.Second)
	task, at := id+".0.0.0", time.Now()
	var victim *Worker
	s.fleet.mu.Lock()
	for _, w := range s.fleet.workers {
		for k := range w.runs {
			if k.task == task {
				victim = w
			}
		}
	}
	s.fleet.mu.Unlock()
	if victim == nil {
		fatal(2, "the task doesn't run")
	}
	if trouble {
		victim.Crash(true, true)
		time.Sleep(time.Second)
		leader := s.Leader()
		if leader == nil {
			fatal(2, "there is no leader")
		}
		leader.Signal(syscall.SIGKILL)
		<-leader.done
		time.Sleep(time.Second)
		leader.Start()
	} else {
		s.rec.Log("no runner is lost, and no process killed")
	}
	lost := at
	time.Sleep(time.Until(at.Add(20 * time.Second)))
	s.State(s.nodes[1], "/feeds/"+id)
	again := time.Time{}
	for _, r := range s.fleet.Runs(id) {
		if r.Task != task {
			continue
		}
		if r.How == "" || r.Ended.After(lost.Add(time.Millisecond)) && !strings.Contains(r.How, "lost") {
			if again.IsZero() || r.Began.Before(again) {
				again = r.Began
			}
		}
	}
	const from, span = 9 * time.Second, 3 * time.Second
	switch {
	case again.IsZero():
		broken = append(broken, fmt.Sprintf("LOST: %s has not run again 20 s after its last run, with 18 of 19 runners nearly empty", task))
	case again.Sub(lost) > from+span:
		broken = append(broken, fmt.Sprintf("LOST: %s had nothing running until %.1f s after its last run, with 18 of 19 runners nearly empty", task, again.Sub(lost).Seconds()))
	}
	return broken
}
