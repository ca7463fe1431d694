package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/standin"
)

// services lists a site's two services, the busier one first.
var services = map[string][]string{
	"tallowood": {"survey", "imaging"},
	"agency":    {"dispatch", "trail-imaging"},
}

// teams lists the team of batch work of a site.
var teams = map[string]string{"tallowood": "sonar", "agency": "trails"}

// options configure a run.
type options struct {
	site     string
	bin      string
	example  string
	rate     float64
	duration time.Duration
	seed     uint64
	keepLogs bool
}

// run is one run of the system under load.
type run struct {
	options
	out     io.Writer
	cluster *cluster
	op      *operator
	callers *callers
	rng     *rand.Rand
	began   time.Time
	packing packing
	// declared holds when each workload was declared.
	mu       sync.Mutex
	declared map[string]time.Time
	planned  []span
	drains   []span
	faults   int
	breaches []standin.Breach
}

// newRun starts the programs and applies the example configuration.
func newRun(out io.Writer, o options) (*run, error) {
	c, err := newCluster(o.bin, o.site)
	if err != nil {
		return nil, err
	}
	r := &run{
		options: o, out: out, cluster: c,
		op:       &operator{tool: c.binary("ctl")},
		callers:  newCallers(c.hosts, services[o.site], o.rate, o.seed),
		rng:      rand.New(rand.NewPCG(o.seed, 2)),
		began:    time.Now(),
		declared: map[string]time.Time{},
	}
	if err := r.configure(); err != nil {
		c.close()
		return nil, errors.WithMessagef(err, "output of the programs is in %s", c.logs)
	}
	return r, nil
}

func (r *run) configure() error {
	if err := until(readyWait, "a scheduler", func() bool { return healthy(r.cluster.hosts[0].schedulerAddr, "/readyz") }); err != nil {
		return err
	}
	if err := r.op.change(r.cluster.hosts[0], "apply", r.example); err != nil {
		return err
	}
	for _, s := range services[r.site] {
		r.declared[s] = r.op.changes[0].sent
	}
	r.note("configuration accepted")
	if err := until(readyWait, "an entry host", r.allReady); err != nil {
		return err
	}
	r.note("all entry hosts are ready")
	time.Sleep(time.Until(r.cluster.keysSince))
	return nil
}

func (r *run) allReady() bool {
	for _, h := range r.cluster.hosts {
		if !healthy(h.entryAddr, "/readyz") {
			return false
		}
	}
	return true
}

// note prints one event with its time.
func (r *run) note(format string, args ...any) {
	fmt.Fprintf(r.out, "%6.2f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// declare declares a workload; one that is not accepted is noted.
func (r *run) declare(h *host, name, text string) {
	r.mu.Lock()
	r.declared[name] = time.Now()
	r.mu.Unlock()
	if err := r.op.change(h, "exec", text); err != nil {
		r.note("not accepted: %s: %v", name, err)
	}
}

// batch returns a statement that declares batch work or a gang.
func (r *run) batch(kind, name string, n int, domain, size string) string {
	return fmt.Sprintf("declare %s %s team %s count %d %s homes %s %d;", kind, name, teams[r.site], n, size, domain, n)
}

// load sends requests and samples the workers while f runs, for the run's duration.
func (r *run) load(f func(ctx context.Context)) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	go balance(ctx, r.cluster.hosts)
	_ = until(readyWait, "the balancer", func() bool { return r.cluster.hosts[0].isReady() })
	timed, stop := context.WithTimeout(ctx, r.duration)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { r.callers.run(timed) })
	wg.Go(func() { r.sample(timed) })
	f(timed)
	wg.Wait()
}

func (r *run) sample(ctx context.Context) {
	for sleep(ctx, time.Second) {
		var workers []standin.WorkerUse
		if r.cluster.platform.get("/workers", &workers) == nil {
			r.packing.add(workers)
		}
	}
}

// sleep waits and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// order begins a fault of the stand-in and notes it.
func (r *run) order(f standin.Fault) {
	r.countFault()
	r.note("fault: %s %s%s>%s %d, %d ms", f.Kind, f.Target, f.From, f.To, f.Value, f.DurationMs)
	if err := r.cluster.platform.order(f); err != nil {
		r.note("not ordered: %v", err)
	}
}

// hostOf returns a domain's entry host by number.
func (r *run) hostOf(domain string, i int) *host {
	for _, h := range r.cluster.hosts {
		if h.domain == domain {
			if i == 0 {
				return h
			}
			i--
		}
	}
	return r.cluster.hosts[0]
}

// demo is the scenario of make demo.
func (r *run) demo(ctx context.Context) {
	at := func(s float64) bool {
		return sleep(ctx, time.Until(r.began.Add(time.Duration(s*float64(time.Second)))))
	}
	start := time.Since(r.began).Seconds()
	scale := r.duration.Seconds() / 20
	killed, other := r.hostOf("north", 0), r.hostOf("centre", 0)
	for i, d := range domains {
		r.declare(other, fmt.Sprintf("sweep-%s", d), r.batch("batch", fmt.Sprintf("sweep-%s", d), 40, d, "cpu 2 memory 4GiB run 4s"))
		r.declare(other, fmt.Sprintf("model-%s", d), r.batch("gang", fmt.Sprintf("model-%s", d), 4+i, d, "cpu 8 memory 16GiB accelerators 3 run 4s"))
	}
	if !at(start + 5*scale) {
		return
	}
	r.countFault()
	r.note("fault: killed both programs of %s", killed.name)
	killed.kill()
	if !at(start + 9*scale) {
		return
	}
	r.order(standin.Fault{Kind: standin.LinkCut, From: "entry-south-*", To: "platform", DurationMs: int64(5000 * scale)})
	if !at(start + 12*scale) {
		return
	}
	if err := killed.start(); err != nil {
		r.note("not started: %v", err)
	}
	r.note("%s was replaced", killed.name)
	if !at(start + 16*scale) {
		return
	}
	r.stopPlanned(other)
}

// stopPlanned stops a host gracefully and starts it anew.
func (r *run) stopPlanned(h *host) {
	s := span{host: h.name, from: time.Now()}
	r.note("planned stop of %s", h.name)
	var wg sync.WaitGroup
	for _, p := range []*process{h.entry, h.scheduler} {
		wg.Go(func() {
			if !p.stop() {
				r.note("%s did not stop within %s", p.name, endWait)
			}
		})
	}
	wg.Wait()
	s.to = time.Now()
	r.mu.Lock()
	r.planned = append(r.planned, s)
	r.mu.Unlock()
	r.note("%s stopped after %.2f s", h.name, s.to.Sub(s.from).Seconds())
	if err := h.start(); err != nil {
		r.note("not started: %v", err)
	}
}

// finish judges the run and prints what was measured. It returns the number of breaches.
func (r *run) finish() (int, error) {
	d := time.Since(r.began)
	s, err := r.cluster.platform.seen()
	if err != nil {
		return 0, err
	}
	r.breaches = append(r.breaches, r.excuse(s)...)
	r.breaches = append(r.breaches, judgeDrains(r.drains, s)...)
	r.breaches = append(r.breaches, judge(r.callers.results, s.requests, r.planned)...)
	served, finite := r.split()
	fmt.Fprintf(r.out, "requests, sent to started: %s\n", requestWaits(r.callers.results, s.requests))
	fmt.Fprintf(r.out, "tasks, declared to first start: services %s; finite work %s\n",
		taskWaits(served, s.starts), taskWaits(finite, s.starts))
	fmt.Fprintf(r.out, "packing: %s\n", r.packing.String())
	fmt.Fprintf(r.out, "control: %s\n", controlCost(s, d))
	fmt.Fprintf(r.out, "not judged: %d requests not run whose key ran under an earlier request, %d requests that began after their deadline\n",
		ownOnly(r.callers.results, s.requests), late(r.callers.results, s.requests))
	printReasons(r.out, r.callers.results)
	printBreaches(r.out, r.began, r.breaches)
	return len(r.breaches), nil
}

// split divides the declared workloads into services and finite work.
func (r *run) split() (served, finite map[string]time.Time) {
	served, finite = map[string]time.Time{}, map[string]time.Time{}
	for name, at := range r.declared {
		if slices.Contains(services[r.site], name) {
			served[name] = at
		} else {
			finite[name] = at
		}
	}
	return served, finite
}

// excuse returns the stand-in's breaches without those of the promise about
// leaving hosts that happened while the domain was cut off, which it notes.
func (r *run) excuse(s seen) []standin.Breach {
	var out []standin.Breach
	excused := 0
	for _, b := range s.breaches {
		if b.Promise == standin.PromiseLeaving && cutOff(s.faults, domainOf(b.Subject), b.Time.Add(-longestFault), b.Time) {
			excused++
			continue
		}
		out = append(out, b)
	}
	if excused > 0 {
		fmt.Fprintf(r.out, "work for leaving hosts while their domain was cut off, not judged: %d\n", excused)
	}
	return out
}
