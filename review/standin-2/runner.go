//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const holdMax = 10 * time.Second

// machine is a machine of the platform with the lives of its runner, which keep its ID and
// its address.
type machine struct {
	site     *site
	id, name string
	rack     string
	address  string
	mu       sync.Mutex
	life     *life
	// draining is set once the runner has said so, dark once its machine answers nothing.
	draining, dark bool
}

// life is one incarnation of a runner.
type life struct {
	born     time.Time
	server   *http.Server
	token    int64
	deadline time.Time
	running  map[string]*taskRun
	// past has, by task, the highest run that was stopped or has ended.
	past     map[string]int64
	ends     []end
	lastEnd  int64
	changed  chan struct{}
	sequence int64
	down     bool
}

type taskRun struct {
	task  string
	run   int64
	began time.Time
	work  time.Duration
	spec  string
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken int64  `json:"fenceToken"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// start begins a life of the machine's runner.
func (m *machine) start() {
	ln, err := net.Listen("tcp", m.address)
	if err != nil {
		m.site.fail("listen %s: %v", m.address, err)
	}
	l := &life{born: time.Now(), running: map[string]*taskRun{}, past: map[string]int64{}, changed: make(chan struct{})}
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(l, w, r) })}
	m.mu.Lock()
	m.life = l
	m.mu.Unlock()
	go func() { _ = l.server.Serve(ln) }()
	go m.work(l)
	m.site.record("runner %s (machine %s) starts, born %d", m.id, m.name, l.born.UnixMilli())
	go func() {
		for !m.over(l) {
			m.enter(l)
			time.Sleep(time.Second)
		}
	}()
}

func (m *machine) over(l *life) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.down
}

// enter writes the runner's entry.
func (m *machine) enter(l *life) {
	m.mu.Lock()
	if l.down {
		m.mu.Unlock()
		return
	}
	l.sequence++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	e := map[string]any{"service": "pool", "address": m.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": l.sequence, "machine": m.name, "capacity": map[string]int{"cpu": 64000, "memMb": 131072, "gpu": 8},
		"labels": []string{"a", m.rack}, "born": l.born.UnixMilli(), "clockMs": l.clock()}
	if m.draining {
		e["remainingMs"] = 2500
	}
	m.site.store.put("keyed.servers", m.id, e)
	m.mu.Unlock()
}

// drain has the runner say that it drains.
func (m *machine) drain() {
	m.mu.Lock()
	m.draining = true
	l := m.life
	m.mu.Unlock()
	m.site.record("runner %s drains", m.id)
	m.enter(l)
}

// leave ends the runner as planned: its entry goes, and its machine with it.
func (m *machine) leave() {
	l := m.endLife("leaves")
	_ = l.server.Close()
	m.site.store.drop("keyed.servers", m.id)
	m.site.listMu.Lock()
	defer m.site.listMu.Unlock()
	var kept []*machine
	for _, x := range m.site.machines {
		if x != m {
			kept = append(kept, x)
		}
	}
	m.site.machines = kept
}

// darken loses the runner for good: its machine has no power, and nothing answers there. Its
// entry goes after three heartbeat intervals of silence.
func (m *machine) darken() {
	m.endLife("is lost, and its machine is dark")
	time.AfterFunc(4500*time.Millisecond, func() { m.site.store.drop("keyed.servers", m.id) })
}

// endLife ends the life and all that runs in it.
func (m *machine) endLife(how string) *life {
	m.mu.Lock()
	l := m.life
	l.down, m.life, m.dark = true, nil, true
	gone := sorted(l.running)
	m.mu.Unlock()
	m.site.record("runner %s (machine %s) %s", m.id, m.name, how)
	for _, x := range gone {
		m.site.record("run %s %d on %s is gone with its runner", x.task, x.run, m.id)
		m.site.ended(m, x.task, x.run, "gone")
	}
	return l
}

func sorted(runs map[string]*taskRun) []*taskRun {
	var out []*taskRun
	for _, x := range runs {
		out = append(out, x)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].task < out[b].task })
	return out
}

// work ends runs that are done, or whose lease has expired.
func (m *machine) work(l *life) {
	for {
		time.Sleep(20 * time.Millisecond)
		m.mu.Lock()
		if l.down {
			m.mu.Unlock()
			return
		}
		for _, x := range sorted(l.running) {
			switch {
			case time.Now().After(l.deadline):
				m.end(l, x, "lapsed")
			case x.spec != "lasts" && time.Since(x.began) >= x.work:
				m.end(l, x, "done")
			}
		}
		m.mu.Unlock()
	}
}

func (m *machine) end(l *life, x *taskRun, how string) {
	delete(l.running, x.task)
	l.lastEnd++
	l.ends = append(l.ends, end{l.lastEnd, x.task, x.run, how})
	l.past[x.task] = max(l.past[x.task], x.run)
	m.site.record("run %s %d on %s ends: %s", x.task, x.run, m.id, how)
	m.site.ended(m, x.task, x.run, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (m *machine) serve(l *life, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if m.over(l) {
		<-r.Context().Done() // nothing answers
		return
	}
	var o order
	if json.Unmarshal(body, &o) != nil {
		answer(w, http.StatusBadRequest, map[string]int64{"clockMs": l.clock()})
		return
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != m.id {
		answer(w, http.StatusMisdirectedRequest, map[string]int64{"clockMs": l.clock()})
		return
	}
	path := r.URL.Path
	switch path {
	case "/v1/run-start", "/v1/run-stop", "/v1/pace":
		m.mu.Lock()
		status, reason := m.carryOut(l, path, o)
		m.mu.Unlock()
		out := map[string]any{"clockMs": l.clock()}
		if reason != "" {
			out["reason"] = reason
		}
		answer(w, status, out)
	case "/v1/hold":
		m.hold(l, w, r, o)
	default:
		answer(w, http.StatusNotFound, map[string]int64{"clockMs": l.clock()})
	}
}

func (m *machine) carryOut(l *life, path string, o order) (int, string) {
	if o.FenceToken < l.token {
		return http.StatusConflict, "fence"
	}
	l.token = o.FenceToken
	x := l.running[o.Task]
	switch path {
	case "/v1/run-stop":
		m.site.record("run-stop %s %d at %s", o.Task, o.Run, m.id)
		l.past[o.Task] = max(l.past[o.Task], o.Run)
		if x != nil && x.run <= o.Run {
			time.AfterFunc(50*time.Millisecond, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				if l.running[o.Task] == x && !l.down {
					m.end(l, x, "stopped")
				}
			})
		}
		return http.StatusOK, ""
	case "/v1/pace":
		return http.StatusOK, ""
	}
	switch {
	case o.DeadlineMs <= l.clock():
		return http.StatusConflict, "late"
	case x != nil && x.run == o.Run:
		l.extend(o.DeadlineMs)
		return http.StatusOK, ""
	case o.Run <= l.past[o.Task] || x != nil && o.Run < x.run:
		l.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	if x != nil {
		m.end(l, x, "stopped")
	}
	l.extend(o.DeadlineMs)
	x = &taskRun{o.Task, o.Run, time.Now(), m.site.workOf(o.Spec), o.Spec}
	l.running[o.Task] = x
	m.site.record("run-start %s %d at %s begins, token %d", o.Task, o.Run, m.id, o.FenceToken)
	m.site.beganRun(m, o)
	return http.StatusOK, ""
}

func (l *life) extend(deadlineMs int64) {
	until := l.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if most := time.Now().Add(holdMax); until.After(most) {
		until = most
	}
	if until.After(l.deadline) {
		l.deadline = until
	}
}

func (m *machine) hold(l *life, w http.ResponseWriter, r *http.Request, o order) {
	m.mu.Lock()
	if o.FenceToken < l.token {
		m.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clockMs": l.clock(), "reason": "fence"})
		return
	}
	l.token = o.FenceToken
	for len(l.ends) > 0 && l.ends[0].number <= o.LastSeen {
		l.ends = l.ends[1:]
	}
	if o.DeadlineMs > 0 {
		l.extend(o.DeadlineMs)
	}
	changed, wait := l.changed, time.Duration(o.WaitMs)*time.Millisecond
	if len(l.ends) > 0 {
		wait = 0
	}
	m.mu.Unlock()
	if wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	if l.down {
		m.mu.Unlock()
		<-r.Context().Done()
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range sorted(l.running) {
		percent := min(100, 100*int64(time.Since(x.began))/int64(x.work))
		running = append(running, []any{x.task, x.run, "", percent, 0})
	}
	for _, e := range l.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	m.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "running": running, "finished": finished})
}

// serveMachines is the platform's list of machines.
func (s *site) serveMachines(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/machines") {
		answer(w, http.StatusNotFound, map[string]string{})
		return
	}
	list := []map[string]any{}
	s.listMu.Lock()
	machines := s.machines
	s.listMu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		e := map[string]any{"machine": m.name, "pool": "pool", "state": "up", "zone": "zone-a", "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": 64000, "memMb": 131072, "gpu": 8}, "id": m.id}
		if m.life == nil {
			e["state"], e["id"] = "down", ""
		}
		m.mu.Unlock()
		list = append(list, e)
	}
	answer(w, http.StatusOK, map[string]any{"machines": list, "nextToken": ""})
}
