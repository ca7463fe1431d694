package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/standin"
)

// markPrefix begins the names of workloads that are declared only to see where
// a change is in force.
const markPrefix = "mark-"

// look is which marks a host showed at one moment.
type look struct {
	at    time.Time
	host  string
	marks map[string]bool
}

// watch looks at the configuration in force at every host.
type watch struct {
	hosts []*host
	mu    sync.Mutex
	looks []look
}

func newWatch(hosts []*host) *watch { return &watch{hosts: hosts} }

// run looks again and again until ctx ends.
func (w *watch) run(ctx context.Context) {
	for sleep(ctx, watchEvery) {
		var wg sync.WaitGroup
		for _, h := range w.hosts {
			wg.Go(func() { w.look(ctx, h) })
		}
		wg.Wait()
	}
}

func (w *watch) look(ctx context.Context, h *host) {
	client := control.NewOperatorProtobufClient("http://"+h.schedulerAddr, platform.NewHTTPClient(watchEvery))
	reply, err := client.Execute(ctx, &control.ExecuteRequest{Text: "list tasks;", Actor: "watch"})
	if err != nil {
		return
	}
	var result struct {
		Tasks []struct {
			Name string `json:"name"`
		} `json:"tasks"`
	}
	if json.Unmarshal(reply.ResultJson, &result) != nil || len(result.Tasks) == 0 {
		return
	}
	l := look{at: time.Now(), host: h.name, marks: map[string]bool{}}
	for _, t := range result.Tasks {
		if name := configuration.WorkloadOf(t.Name); strings.HasPrefix(name, markPrefix) {
			l.marks[name] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks = append(w.looks, l)
}

// judge finds hosts that went back: that no longer show a mark they have shown,
// or lack an accepted one that comes before one they show, or all accepted ones
// at the end.
func (w *watch) judge(op *operator) []standin.Breach {
	offsets := map[string]int64{}
	for _, c := range op.changes {
		if name, ok := markOf(c.text); ok && c.accepted {
			offsets[name] = c.offset
		}
	}
	var out []standin.Breach
	last := map[string]look{}
	for _, l := range w.looks {
		out = append(out, l.compare(last[l.host], offsets)...)
		last[l.host] = l
	}
	for host, l := range last {
		for name := range offsets {
			if !l.marks[name] {
				out = append(out, standin.Breach{Time: l.at, Promise: promiseConfiguration, Subject: host, Detail: "never showed the accepted " + name})
			}
		}
	}
	return out
}

func (l look) compare(before look, offsets map[string]int64) []standin.Breach {
	var out []standin.Breach
	newest := int64(-1)
	for name := range l.marks {
		if at, ok := offsets[name]; ok {
			newest = max(newest, at)
		}
	}
	for name, at := range offsets {
		if l.marks[name] {
			continue
		}
		if before.marks[name] || at < newest {
			out = append(out, standin.Breach{Time: l.at, Promise: promiseConfiguration, Subject: l.host, Detail: fmt.Sprintf("went back: %s at offset %d is gone", name, at)})
		}
	}
	return out
}

func markOf(text string) (string, bool) {
	for _, word := range strings.Fields(text) {
		if strings.HasPrefix(word, markPrefix) {
			return word, true
		}
	}
	return "", false
}
