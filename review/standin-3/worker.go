package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

type runKey struct {
	task string
	run  int64
}

// Run is one run of a task on a worker.
type Run struct {
	Task   string
	Number int64
	Worker string
	Began  time.Time
	Ended  time.Time
	// How is empty while the run goes on, "lost" if its worker ended.
	How   string
	fence int64
	spec  string
	gang  *gang
	stop  *time.Timer
	work  *time.Timer
	w     *Worker
}

// gang is one run of all tasks of a step that work only together.
type gang struct {
	members map[string]*Run
	count   int
	began   time.Time
	timer   *time.Timer
}

type endRow struct {
	n     int64
	task  string
	run   int64
	how   string
	saved string
}

// Worker is one machine with its runner. Fleet.mu guards its fields.
type Worker struct {
	fleet                *Fleet
	id, machine, service string
	address              string
	labels               []string
	cpu, memMB, gpu      int64
	zone                 string
	listener             net.Listener
	server               *http.Server
	alive, gone          bool
	// dark workers answer nothing, and connections to them stay silent.
	dark     bool
	born     time.Time
	fence    int64
	deadline int64
	lease    *time.Timer
	runs     map[runKey]*Run
	barred   map[string]int64
	ends     []endRow
	lastEnd  int64
	changed  chan struct{}
	sequence int64
	life     int
	listedAt time.Time
	draining bool
	// conns are the open connections; those beyond maxConns are reset. 0 is without bound.
	conns    map[net.Conn]bool
	maxConns int
	resets   int
}

// track is called at each change of a connection's state.
func (w *Worker) track(c net.Conn, state http.ConnState) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	switch state {
	case http.StateNew:
		if w.maxConns > 0 && len(w.conns) >= w.maxConns {
			w.resets++
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return
		}
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// TaskSpec is what the fleet knows of the tasks of a job's step.
type TaskSpec struct {
	Work    time.Duration
	Lasting bool
	Gang    int
	// CPU is for the record only.
	CPU int64
}

// Fleet holds the workers, the list of machines and all runs that there were.
type Fleet struct {
	mu      sync.Mutex
	store   *Store
	rec     *Recorder
	workers []*Worker
	runs    []*Run
	gangs   map[string]*gang
	specs   map[string]TaskSpec
	stopMs  int
	maxHold int64
	onStart func(w *Worker, r *Run)
	// answer, if not nil, decides on an order before it is carried out.
	order func(w *Worker, path string, body []byte) orderFault
}

// orderFault is what happens to an order.
type orderFault struct {
	// silent orders get no answer; delay puts off what is carried out, never if below 0.
	silent bool
	delay  time.Duration
}

func newFleet(s *Store, rec *Recorder) *Fleet {
	return &Fleet{store: s, rec: rec, gangs: map[string]*gang{}, specs: map[string]TaskSpec{}, stopMs: 200, maxHold: 6000}
}

// Know tells what the tasks of a step do; step is ID.STEP.
func (f *Fleet) Know(step string, t TaskSpec) {
	f.mu.Lock()
	f.specs[step] = t
	f.mu.Unlock()
}

func (f *Fleet) Add(id, service string, cpu, memMB int64, labels ...string) *Worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(2, "worker: %v", err)
	}
	w := &Worker{fleet: f, id: id, machine: "m-" + id, service: service, labels: labels, cpu: cpu, memMB: memMB, zone: "zone-a", address: l.Addr().String()}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	w.begin(l)
	return w
}

// begin starts an incarnation.
func (w *Worker) begin(l net.Listener) {
	w.fleet.mu.Lock()
	w.listener, w.alive, w.born, w.life = l, true, time.Now(), w.life+1
	w.fence, w.deadline, w.lastEnd, w.ends, w.sequence, w.draining = 0, 0, 0, nil, 0, false
	w.runs, w.barred, w.changed = map[runKey]*Run{}, map[string]int64{}, make(chan struct{})
	life := w.life
	w.conns = map[net.Conn]bool{}
	w.server = &http.Server{Handler: w, ConnState: w.track}
	server := w.server
	w.fleet.mu.Unlock()
	go server.Serve(l)
	go w.beat(life)
}

const heartbeatMs = 1500

// beat writes the worker's entry.
func (w *Worker) beat(life int) {
	for {
		w.fleet.mu.Lock()
		if !w.alive || w.dark || w.life != life {
			w.fleet.mu.Unlock()
			return
		}
		w.sequence++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memMB, "gpu": w.gpu}, "labels": w.labels, "clockMs": w.clock(), "sequence": w.sequence,
			"machine": w.machine, "born": w.born.UnixMilli(),
		}
		w.listedAt = time.Now()
		b, _ := json.Marshal(entry)
		w.fleet.store.Put("keyed.servers", w.id, b)
		w.fleet.mu.Unlock()
		time.Sleep(heartbeatMs * time.Millisecond)
	}
}

// sweep removes the entries of silent workers, as the platform does.
func (f *Fleet) sweep() {
	for {
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		for _, w := range f.workers {
			if !w.listedAt.IsZero() && time.Since(w.listedAt) > 3*heartbeatMs*time.Millisecond {
				w.listedAt = time.Time{}
				f.store.Put("keyed.servers", w.id, nil)
			}
		}
		f.mu.Unlock()
	}
}

// clock is in milliseconds since the incarnation's start.
func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// perish ends all runs of the incarnation. The lock must be held.
func (w *Worker) perish() {
	w.alive = false
	if w.lease != nil {
		w.lease.Stop()
	}
	for _, r := range w.sorted() {
		w.end(r, "lost")
	}
	w.ends = nil
}

// Crash ends the worker without notice: its port refuses connections, or, if it is dark, is silent.
func (w *Worker) Crash(dark, gone bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	how := "its port refuses connections"
	if dark {
		how = "it is silent"
	}
	w.fleet.rec.Log("runner %s crashes, %d runs are lost; %s", w.id, len(w.runs), how)
	w.perish()
	w.gone = gone
	if dark {
		w.dark = true // connections stay open, and nothing is answered
		return
	}
	w.listener.Close()
	w.server.Close()
}

// Restart begins the next incarnation under the same id and address.
func (w *Worker) Restart() {
	for range 200 {
		l, err := net.Listen("tcp", w.address)
		if err == nil {
			w.fleet.rec.Log("runner %s is back, born anew", w.id)
			w.begin(l)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	fatal(2, "worker %s: its port isn't free", w.id)
}

func (w *Worker) sorted() []*Run {
	var out []*Run
	for _, r := range w.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Task < out[b].Task })
	return out
}

// end ends a run. The lock must be held.
func (w *Worker) end(r *Run, how string) {
	if r.How != "" {
		return
	}
	r.How, r.Ended = how, time.Now()
	if r.work != nil {
		r.work.Stop()
	}
	if r.stop != nil {
		r.stop.Stop()
	}
	delete(w.runs, runKey{r.Task, r.Number})
	w.barred[r.Task] = max(w.barred[r.Task], r.Number)
	w.fleet.rec.Log("run %s/%d on %s ends: %s", r.Task, r.Number, w.id, how)
	if w.alive {
		w.lastEnd++
		w.ends = append(w.ends, endRow{w.lastEnd, r.Task, r.Number, how, ""})
		close(w.changed)
		w.changed = make(chan struct{})
	}
	if g := r.gang; g != nil {
		if g.timer != nil {
			g.timer.Stop()
		}
		for _, x := range g.members {
			if x != r && x.How == "" {
				if how == "done" {
					x.w.end(x, "done")
				} else {
					x.w.end(x, "broken")
				}
			}
		}
	}
}

type startOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken int64  `json:"fenceToken"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// extend lengthens the lease of all that runs. The lock must be held.
func (w *Worker) extend(deadline int64) {
	now := w.clock()
	deadline = min(deadline, now+w.fleet.maxHold)
	if deadline <= w.deadline || deadline <= now {
		return
	}
	w.deadline = deadline
	life := w.life
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(time.Duration(deadline-now)*time.Millisecond, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.life == life && w.alive && w.clock() >= w.deadline {
			for _, r := range w.sorted() {
				w.end(r, "lapsed")
			}
		}
	})
}

func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := w.fleet
	f.mu.Lock()
	dark, alive := w.dark, w.alive
	fault := orderFault{}
	if f.order != nil && r.URL.Path != "/v1/hold" {
		fault = f.order(w, r.URL.Path, body)
	}
	f.mu.Unlock()
	if dark || !alive {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if fault.silent {
		if fault.delay >= 0 {
			time.AfterFunc(fault.delay, func() {
				status, out := w.carryOut(r.URL.Path, r.Header.Get("X-Expected-Instance"), body)
				f.rec.Log("order %s to %s is carried out late: %d %v", r.URL.Path, w.id, status, out)
			})
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/v1/hold" {
		w.hold(rw, r, body)
		return
	}
	status, out := w.carryOut(r.URL.Path, r.Header.Get("X-Expected-Instance"), body)
	if out == nil {
		rw.WriteHeader(status)
		return
	}
	writeJSON(rw, status, out)
}

// carryOut carries out an order.
func (w *Worker) carryOut(path, instance string, body []byte) (int, map[string]any) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if path == "/healthz" {
		return 200, map[string]any{}
	}
	if !w.alive {
		return 0, nil
	}
	answer := func(status int, reason string) (int, map[string]any) {
		m := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
		if reason != "" {
			m["reason"] = reason
		}
		return status, m
	}
	if instance != "" && instance != w.id {
		return answer(421, "")
	}
	var o startOrder
	if json.Unmarshal(body, &o) != nil || o.Task == "" {
		return answer(400, "")
	}
	if o.FenceToken < w.fence {
		return answer(409, "fence")
	}
	w.fence = o.FenceToken
	k := runKey{o.Task, o.Run}
	switch path {
	case "/v1/run-start":
		if o.DeadlineMs <= w.clock() {
			return answer(409, "late")
		}
		w.extend(o.DeadlineMs)
		if w.runs[k] != nil {
			return answer(200, "")
		}
		if o.Run <= w.barred[o.Task] {
			return answer(409, "old")
		}
		w.start(o)
		return answer(200, "")
	case "/v1/run-stop":
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		if r := w.runs[k]; r != nil && r.stop == nil {
			r.stop = time.AfterFunc(time.Duration(f.stopMs/2)*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				w.end(r, "stopped")
			})
		}
		return answer(200, "")
	case "/v1/pace":
		return answer(200, "")
	}
	return answer(404, "")
}

// specOf returns what the fleet knows of a task.
func (f *Fleet) specOf(task string) TaskSpec {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return TaskSpec{Work: time.Second}
	}
	t, ok := f.specs[p[0]+"."+p[2]]
	if !ok {
		t.Work = time.Second
	}
	return t
}

// start begins a run. The lock must be held.
func (w *Worker) start(o startOrder) {
	f := w.fleet
	t := f.specOf(o.Task)
	r := &Run{Task: o.Task, Number: o.Run, Worker: w.id, Began: time.Now(), fence: o.FenceToken, spec: o.Spec, w: w}
	w.runs[runKey{o.Task, o.Run}] = r
	f.runs = append(f.runs, r)
	f.rec.Log("run %s/%d begins on %s under token %d", r.Task, r.Number, w.id, o.FenceToken)
	life := w.life
	finish := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.life == life && w.alive {
			w.end(r, "done")
		}
	}
	switch {
	case t.Gang > 0:
		p := strings.Split(o.Task, ".")
		key := fmt.Sprintf("%s.%s.%s/%d", p[0], p[1], p[2], o.Run)
		g := f.gangs[key]
		if g == nil {
			g = &gang{members: map[string]*Run{}, count: t.Gang}
			f.gangs[key] = g
		}
		g.members[o.Task] = r
		r.gang = g
		live := 0
		for _, x := range g.members {
			if x.How == "" {
				live++
			}
		}
		if live == g.count {
			g.began = time.Now()
			if g.timer != nil {
				g.timer.Stop()
			}
			r.work = time.AfterFunc(t.Work, finish)
		} else if g.timer == nil {
			g.timer = time.AfterFunc(3*time.Second, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if g.began.IsZero() {
					for _, x := range g.members {
						x.w.end(x, "alone")
					}
				}
			})
		}
	case !t.Lasting:
		r.work = time.AfterFunc(t.Work, finish)
	}
	if f.onStart != nil {
		f.onStart(w, r)
	}
}

const startup = 300 * time.Millisecond

func (r *Run) percent(t TaskSpec) int {
	began := r.Began
	if r.gang != nil {
		if began = r.gang.began; began.IsZero() {
			return 0
		}
	}
	if t.Lasting {
		if time.Since(began) > startup {
			return 100
		}
		return 0
	}
	return min(99, int(100*time.Since(began)/max(t.Work, 1)))
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, body []byte) {
	f := w.fleet
	var o startOrder
	if json.Unmarshal(body, &o) != nil {
		writeJSON(rw, 400, map[string]any{})
		return
	}
	f.mu.Lock()
	life := w.life
	answer := func(status int, reason string) {
		m := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
		if reason != "" {
			m["reason"] = reason
		}
		f.mu.Unlock()
		writeJSON(rw, status, m)
	}
	if i := r.Header.Get("X-Expected-Instance"); i != "" && i != w.id {
		answer(421, "")
		return
	}
	if o.FenceToken < w.fence {
		answer(409, "fence")
		return
	}
	w.fence = o.FenceToken
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ends) > 0 && w.ends[0].n <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) && w.alive && w.life == life {
		changed := w.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
	}
	if w.dark || !w.alive || w.life != life {
		f.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.sorted() {
		running = append(running, []any{x.Task, x.Number, "", x.percent(f.specOf(x.Task)), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	m := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
	f.mu.Unlock()
	writeJSON(rw, 200, m)
}

// machines serves the platform's list of machines.
func (f *Fleet) machines(rw http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	out := []map[string]any{}
	for _, w := range f.workers {
		if w.gone {
			continue
		}
		state, id := "up", any(w.id)
		if !w.alive {
			state, id = "down", nil
		}
		m := map[string]any{"machine": w.machine, "pool": w.service, "state": state, "zone": w.zone, "labels": w.labels,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memMB, "gpu": w.gpu}, "id": id}
		out = append(out, m)
	}
	f.mu.Unlock()
	writeJSON(rw, 200, map[string]any{"machines": out, "nextToken": nil})
}
