package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["connections"] = connections }

// connections: four runners with 64 connections each, and three nodes. 22 times the machine
// of the leader is lost for good, and a new one comes at another address. A lost machine is a
// stopped process: it answers nothing, and its connections stay open at their other ends, as those
// of a machine without power do. Each leader gets a job as wide as the runners. At the end there is
// 17 s of calm (finish_s and 3 s) after the last job.
func connections(s *Site, trouble bool) (broken []string) {
	s.service = []string{"svc"}
	s.Route("loads", "/loads/", "svc", 0, 4, 1.5, 400)
	s.Configure(1)
	for i := range 4 {
		w := s.fleet.Add(fmt.Sprintf("i-%02d", i), "svc", 16000, 65536, "a", fmt.Sprintf("r-%d", i))
		w.maxConns = 64
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for _, z := range zones {
		s.AddNode(z).Start()
	}
	s.AwaitReady()
	time.Sleep(time.Second)
	alive := func() []*Node {
		var out []*Node
		for _, n := range s.nodes {
			if !n.gone {
				out = append(out, n)
			}
		}
		return out
	}
	submitted := 0
	submit := func() string {
		submitted++
		id := fmt.Sprintf("%016x", 0xc00+submitted)
		s.fleet.Know(id+".0", TaskSpec{Work: 500 * time.Millisecond})
		job := map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 32, "cpu": 2000, "memMb": 1024, "estimateMs": 500}}}
		if !s.Submit(alive()[0], "/loads/"+id, job) {
			s.rec.Log("job %s isn't accepted", id)
			return ""
		}
		return id
	}
	const losses = 22
	lost := 0
	for began := time.Now(); lost < losses && time.Since(began) < 88*time.Second; {
		submit()
		time.Sleep(1200 * time.Millisecond)
		if !trouble {
			lost++
			time.Sleep(2500 * time.Millisecond)
			continue
		}
		leader := s.Leader()
		if leader == nil || leader.gone {
			s.rec.Log("there is no leader")
			time.Sleep(2500 * time.Millisecond)
			continue
		}
		leader.gone = true
		lost++
		leader.Signal(syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
		s.AddNode(zones[lost%3]).Start()
		time.Sleep(2 * time.Second)
	}
	s.rec.Log("%d machines were lost, if there is trouble", lost)
	s.fleet.mu.Lock()
	for _, w := range s.fleet.workers {
		s.rec.Log("runner %s has %d connections open and has reset %d", w.id, len(w.conns), w.resets)
	}
	s.fleet.mu.Unlock()
	id := submit()
	time.Sleep(17 * time.Second)
	if id == "" {
		return broken
	}
	n := alive()[0]
	_, state := s.State(n, "/loads/"+id)
	began := map[string]bool{}
	for _, r := range s.fleet.Runs(id) {
		began[r.Task] = true
	}
	s.rec.Log("%d of 32 tasks have begun, the job is %s", len(began), state)
	s.fleet.mu.Lock()
	for _, w := range s.fleet.workers {
		s.rec.Log("runner %s has %d connections open and has reset %d", w.id, len(w.conns), w.resets)
	}
	s.fleet.mu.Unlock()
	if len(began) == 0 {
		broken = append(broken, fmt.Sprintf("LOST: 17 s after the end of the traffic the last job has had nothing running, and is %s; all runners are up and empty", state))
	}
	return broken
}
