package main

import (
	"fmt"
	"time"
)

func init() { cases["crashes"] = crashes }

// crashes: eight runners, and a gang of six tasks of 9 s of work. Two of the runners under it
// crash, 4 s apart, each one of eight, and are back after 3 s. No run ever ends as failed.
func crashes(s *Site, trouble bool) (broken []string) {
	s.service = []string{"svc"}
	s.Route("maps", "/maps/", "svc", 1, 4, 2.2, 1200)
	s.Configure(1)
	for i := range 8 {
		s.fleet.Add(fmt.Sprintf("i-%02d", i), "svc", 16000, 65536, "a", fmt.Sprintf("r-%d", i))
	}
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		s.AddNode(z).Start()
	}
	s.AwaitReady()
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	s.fleet.Know(id+".0", TaskSpec{Work: 9 * time.Second, Gang: 6})
	if !s.Submit(s.nodes[0], "/maps/"+id, map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 6, "cpu": 12000, "memMb": 1024, "estimateMs": 9000, "gang": true}}}) {
		fatal(2, "the job wasn't accepted")
	}
	crash := func() {
		s.fleet.mu.Lock()
		var victim *Worker
		for _, w := range s.fleet.workers {
			if w.alive && len(w.runs) > 0 {
				victim = w
			}
		}
		s.fleet.mu.Unlock()
		if victim == nil {
			s.rec.Log("no runner has a task")
			return
		}
		victim.Crash(false, false)
		time.AfterFunc(3*time.Second, victim.Restart)
	}
	for i := range 2 {
		time.Sleep(4 * time.Second)
		if trouble {
			crash()
		} else {
			s.rec.Log("no crash %d", i)
		}
	}
	until := time.Now().Add(40 * time.Second)
	state := ""
	for time.Now().Before(until) {
		time.Sleep(time.Second)
		if _, state = s.State(s.nodes[1], "/maps/"+id); state == "failed" || state == "completed" || state == "cancelled" {
			break
		}
	}
	failed := 0
	for _, r := range s.fleet.Runs(id) {
		if r.How == "failed" {
			failed++
		}
	}
	s.rec.Log("the job is %s; %d runs ended as failed", state, failed)
	if state == "failed" && failed == 0 {
		broken = append(broken, "LOST: the job is shown as failed, and no run of it has ended as failed")
	}
	return broken
}
