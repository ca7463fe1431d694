package main

import (
	"fmt"
	"time"
)

func init() { cases["rack"] = rack }

// rack: twelve runners, five of them in rack r-0, and remoteFactor 3. Three of five jobs that last
// want that rack, and their five tasks fill it (the disruption: many jobs want the same rack). Then
// the last job of the traffic comes, one small task whose data is in that rack. Six runners are
// empty and a seventh nearly. From finish_s (14 s) after the end of the traffic on, the job must not
// be without a run for 3 s.
func rack(s *Site, trouble bool) (broken []string) {
	s.remote = 3
	s.service = []string{"svc"}
	s.Route("loads", "/loads/", "svc", 0, 4, 1.5, 400)
	s.Route("feeds", "/feeds/", "svc", 1, 3, 2.2, 2500)
	s.Configure(1)
	for i := range 12 {
		s.fleet.Add(fmt.Sprintf("i-%02d", i), "svc", 32000, 131072, "a", fmt.Sprintf("r-%d", i/5))
	}
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		s.AddNode(z).Start()
	}
	s.AwaitReady()
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	s.fleet.Know(id+".0", TaskSpec{Work: 11 * time.Second})
	// Three of five of these jobs want one rack (0.6); they fill its five runners.
	for i, tasks := range []int{2, 2, 1, 1, 1} {
		feed := fmt.Sprintf("%016x", 0xf00+i)
		s.fleet.Know(feed+".0", TaskSpec{Lasting: true})
		step := map[string]any{"count": tasks, "cpu": 4000, "memMb": 1024, "estimateMs": 500, "longRunning": true}
		if i < 3 {
			if !trouble {
				s.rec.Log("job %s, which would want the rack, isn't handed in", feed)
				continue
			}
			step["cpu"], step["affinity"] = 31000, "r-0"
		}
		if !s.Submit(s.nodes[i%3], "/feeds/"+feed, map[string]any{"spec": "x", "steps": []any{step}}) {
			fatal(2, "the job wasn't accepted")
		}
	}
	time.Sleep(3 * time.Second)
	if !s.Submit(s.nodes[0], "/loads/"+id, map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 1, "cpu": 6600, "memMb": 1024, "estimateMs": 15000, "affinity": "r-0"}}}) {
		fatal(2, "the job wasn't accepted")
	}
	end := time.Now()
	const finish, span = 14 * time.Second, 3 * time.Second
	time.Sleep(finish)
	s.State(s.nodes[1], "/loads/"+id)
	time.Sleep(span + 500*time.Millisecond)
	_, state := s.State(s.nodes[2], "/loads/"+id)
	runs := s.fleet.Runs(id)
	if len(runs) == 0 {
		broken = append(broken, fmt.Sprintf("LOST: %.1f s after the end of the traffic the job has had nothing running, and is %s; 5 of 12 runners are full, one has two small tasks, 6 are empty", time.Since(end).Seconds(), state))
	}
	return broken
}
