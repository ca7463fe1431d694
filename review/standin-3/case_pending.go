package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["pending"] = pending }

// pending: 20 runners. One of them, on which a task works, falls silent for good, and at that
// moment eight small jobs come. From 5 s after their accept on (visible_ms + 2 s), the number of
// pending jobs is asked for at each node.
func pending(s *Site, trouble bool) (broken []string) {
	s.service = []string{"svc"}
	s.Route("loads", "/loads/", "svc", 0, 4, 1.5, 400)
	s.Route("plans", "/plans/", "svc", 2, 3, 4, 3000)
	s.Configure(1)
	for i := range 20 {
		s.fleet.Add(fmt.Sprintf("i-%02d", i), "svc", 16000, 65536, "a", fmt.Sprintf("r-%d", i/5))
	}
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		s.AddNode(z).Start()
	}
	s.AwaitReady()
	time.Sleep(2 * time.Second)
	const first = "00000000000000a0"
	s.fleet.Know(first+".0", TaskSpec{Work: 60 * time.Second})
	step := map[string]any{"count": 1, "cpu": 1000, "memMb": 1024, "estimateMs": 900}
	if !s.Submit(s.nodes[0], "/plans/"+first, map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 1, "cpu": 4000, "memMb": 1024, "estimateMs": 60000}}}) {
		fatal(2, "the job wasn't accepted")
	}
	time.Sleep(3 * time.Second)
	var victim *Worker
	s.fleet.mu.Lock()
	for _, w := range s.fleet.workers {
		if len(w.runs) > 0 {
			victim = w
		}
	}
	s.fleet.mu.Unlock()
	if victim == nil {
		fatal(2, "no runner has a task")
	}
	if trouble {
		victim.Crash(true, true)
	} else {
		s.rec.Log("no runner is lost")
	}
	var mu sync.Mutex
	accepted := map[string]time.Time{}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", 0xb00+i)
			if s.Submit(s.nodes[i%3], "/loads/"+id, map[string]any{"spec": "x", "steps": []any{step}}) {
				mu.Lock()
				accepted[id] = time.Now()
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	// unbegun counts the jobs accepted over 5 s before of which no task has begun.
	unbegun := func() int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for id, at := range accepted {
			if time.Since(at) > 5*time.Second && len(s.fleet.Runs(id)) == 0 {
				n++
			}
		}
		return n
	}
	until := time.Now().Add(9 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(100 * time.Millisecond)
		n := s.nodes[i%3]
		before := unbegun()
		if before == 0 {
			continue
		}
		status, body := s.Call(n, "GET", "/loads/", "")
		least := min(before, unbegun())
		var b struct{ Pending int }
		if status != 200 || json.Unmarshal([]byte(body), &b) != nil {
			continue
		}
		if least > 0 && 2*b.Pending < least {
			broken = append(broken, fmt.Sprintf("MIXED: %s gives %d as pending; of %d jobs accepted over 5 s before no task has begun", n.name, b.Pending, least))
		}
	}
	return broken
}
