package demo

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/standin"
)

const (
	// faultEvery is the mean time between two faults.
	faultEvery = 2 * time.Second
	// settle is the time without new faults at a run's end.
	settle = 15 * time.Second
	// longestFault bounds how long a fault lasts.
	longestFault = 15 * time.Second
	// watchEvery is the time between two looks at the configuration in force.
	watchEvery = time.Second
)

// event is one planned fault.
type event struct {
	at time.Duration
	do func()
}

// runChaos runs the system under a seeded schedule of faults.
func runChaos(o options) (int, error) {
	r, err := newRun(os.Stdout, o)
	if err != nil {
		return 0, err
	}
	defer r.close()
	w := newWatch(r.cluster.hosts)
	r.load(func(ctx context.Context) { r.chaos(ctx, w) })
	r.breaches = append(r.breaches, w.judge(r.op.changes)...)
	n, err := r.finish()
	if err != nil {
		return 0, err
	}
	fmt.Printf("chaos: seed %d, %d faults, %d requests, %d breaches\n", o.seed, r.faults, len(r.callers.results), n)
	return n, nil
}

// chaos runs the schedule, then heals all and lets the system settle.
func (r *run) chaos(ctx context.Context, w *watch) {
	var wg sync.WaitGroup
	wg.Go(func() { w.run(ctx) })
	start := time.Now()
	r.declareWork()
	for _, e := range r.plan(r.duration - settle) {
		if !sleep(ctx, time.Until(start.Add(e.at))) {
			break
		}
		wg.Go(e.do)
	}
	sleep(ctx, time.Until(start.Add(r.duration-settle)))
	r.note("faults end")
	if err := r.cluster.platform.clear(); err != nil {
		r.note("not cleared: %v", err)
	}
	wg.Wait()
}

// declareWork declares finite work in every domain.
func (r *run) declareWork() {
	for _, d := range domains {
		r.declare(r.cluster.hosts[0], "sweep-"+d, r.batch("batch", "sweep-"+d, 60, d, "cpu 2 memory 4GiB run 8s"))
		r.declare(r.cluster.hosts[0], "model-"+d, r.batch("gang", "model-"+d, 4, d, "cpu 8 memory 16GiB accelerators 3 run 6s"))
	}
}

// plan draws the schedule from the seed.
func (r *run) plan(d time.Duration) []event {
	kinds := r.kinds()
	var plan []event
	for at := time.Duration(0); ; {
		at += time.Duration(r.rng.ExpFloat64() * float64(faultEvery))
		if at >= d {
			return plan
		}
		plan = append(plan, event{at, kinds[r.rng.IntN(len(kinds))](min(r.lasting(), d-at))})
	}
}

// lasting draws how long a fault lasts.
func (r *run) lasting() time.Duration {
	return time.Second + time.Duration(r.rng.Int64N(int64(longestFault-time.Second)))
}

func (r *run) anyHost() *host { return r.cluster.hosts[r.rng.IntN(len(r.cluster.hosts))] }

func (r *run) anyDomain() string { return domains[r.rng.IntN(len(domains))] }

// anyWorkers draws one worker or the workers of one number range of a domain.
func (r *run) anyWorkers() string {
	group := []string{workerGroup[r.site], "imaging"}[r.rng.IntN(2)]
	name := fmt.Sprintf("%s-%s-0%d", group, r.anyDomain(), 1+r.rng.IntN(4))
	if r.rng.IntN(3) == 0 {
		return name[:len(name)-1] + "*"
	}
	return name
}

// workerGroup names the workers of a site's busier service.
var workerGroup = map[string]string{"tallowood": "survey", "agency": "dispatch"}

// kind draws one fault of a kind that lasts for d.
type kind func(d time.Duration) func()

func (r *run) kinds() []kind {
	list := append(r.processKinds(), r.workKinds()...)
	host := func() string { return r.anyHost().name }
	domain := func() string { return "entry-" + r.anyDomain() + "-*" }
	is := func(name string) func() string { return func() string { return name } }
	all := is(workerGroup[r.site] + "-*")
	for _, f := range []struct {
		kind         standin.FaultKind
		from, to, on func() string
		least, most  int64
	}{
		{kind: standin.LinkCut, from: host, to: is("platform")},
		{kind: standin.LinkCut, from: domain, to: is("platform")},
		{kind: standin.LinkCut, from: host, to: is("entry-*")},
		{kind: standin.LinkCut, from: host, to: r.anyWorkers},
		{kind: standin.LinkCut, from: host, to: all},
		{kind: standin.LinkSilent, from: host},
		{kind: standin.LinkSilent, to: r.anyWorkers},
		{kind: standin.LinkDelay, from: host, to: all, least: 100, most: 2100},
		{kind: standin.LogOut},
		{kind: standin.LogSlow, least: 1, most: 3001},
		{kind: standin.LogLostReply, least: 50},
		{kind: standin.HostsFrozen},
		{kind: standin.HostLeaving, on: r.anyWorkers},
		{kind: standin.WorkerRestart, on: r.anyWorkers},
		{kind: standin.WorkerReplace, on: r.anyWorkers},
		{kind: standin.WorkerPause, on: r.anyWorkers},
		{kind: standin.WorkerBlackHole, on: r.anyWorkers},
		{kind: standin.WorkerLostReply, on: r.anyWorkers, least: 50},
		{kind: standin.TaskUsage, least: 1000},
		{kind: standin.TaskRunTime, least: 1000},
		{kind: standin.RunnerSilent, on: r.anyWorkers},
		{kind: standin.RunnerRefuse, on: r.anyWorkers},
		{kind: standin.RunnerSlow, on: r.anyWorkers, least: 100, most: 3100},
	} {
		list = append(list, func(d time.Duration) func() {
			x := standin.Fault{Kind: f.kind, Value: f.least, DurationMs: d.Milliseconds()}
			for i, draw := range []func() string{f.from, f.to, f.on} {
				if draw != nil {
					*[]*string{&x.From, &x.To, &x.Target}[i] = draw()
				}
			}
			if f.most > f.least {
				x.Value += r.rng.Int64N(f.most - f.least)
			}
			return func() { r.order(x) }
		})
	}
	return list
}

// processKinds are the faults of the system's own processes.
func (r *run) processKinds() []kind {
	return []kind{
		r.onHost("killed both programs of", func(h *host, d time.Duration) {
			h.kill()
			time.Sleep(d / 2)
			r.restart(h)
		}),
		r.onHost("killed the scheduler of", func(h *host, d time.Duration) {
			h.scheduler.kill()
			time.Sleep(d / 2)
			r.restart(h)
		}),
		r.onHost("killed the entry of", func(h *host, d time.Duration) {
			h.entry.kill()
			time.Sleep(d / 2)
			r.restart(h)
		}),
		r.onHost("paused the scheduler of", func(h *host, d time.Duration) { pause(h.scheduler, d) }),
		r.onHost("paused the entry of", func(h *host, d time.Duration) { pause(h.entry, d) }),
		r.onHost("stopping as planned", func(h *host, _ time.Duration) { r.stopPlanned(h) }),
	}
}

// onHost draws a host for a fault of its processes. A host that has such a
// fault already is left alone.
func (r *run) onHost(what string, f func(*host, time.Duration)) kind {
	return func(d time.Duration) func() {
		h := r.anyHost()
		return func() {
			if !h.faulty.TryLock() {
				return
			}
			defer h.faulty.Unlock()
			r.countFault()
			r.note("fault: %s %s, %d ms", what, h.name, d.Milliseconds())
			f(h, d)
		}
	}
}

func pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// restart starts the programs of a host that don't live.
func (r *run) restart(h *host) {
	if err := h.start(); err != nil {
		r.note("not started: %v", err)
	}
	r.note("%s is back", h.name)
}

// workKinds are what operators do at bad moments.
func (r *run) workKinds() []kind {
	return []kind{r.wave, r.race, r.mark, r.mark, r.drain}
}

const waveSize = 10

// wave declares many workloads and cancels them all at once.
func (r *run) wave(time.Duration) func() {
	h, d, n := r.anyHost(), r.anyDomain(), r.rng.IntN(1000)
	return func() {
		r.countFault()
		r.note("fault: cancellation wave %d in %s at %s", n, d, h.name)
		var all, names string
		for i := range waveSize {
			name := fmt.Sprintf("wave-%d-%d", n, i)
			all += r.batch("batch", name, 20, d, "cpu 1 memory 1GiB run 30s")
			names += ", " + name
		}
		_ = r.op.change(h, "exec", all)
		time.Sleep(time.Second)
		_ = r.op.change(h, "exec", "cancel "+names[2:]+";")
	}
}

// race lets two operators change one team at once.
func (r *run) race(time.Duration) func() {
	a, b := r.anyHost(), r.anyHost()
	return func() {
		r.countFault()
		r.note("fault: operators race at %s and %s", a.name, b.name)
		var wg sync.WaitGroup
		for i, h := range []*host{a, b} {
			wg.Go(func() { _ = r.op.change(h, "exec", fmt.Sprintf("declare team raced weight %d;", i+1)) })
		}
		wg.Wait()
	}
}

// mark declares a team, by which the watch sees where the change is in force.
func (r *run) mark(time.Duration) func() {
	h, n := r.anyHost(), r.rng.IntN(1_000_000)
	return func() { _ = r.op.change(h, "exec", fmt.Sprintf("declare team mark-%d weight 1;", n)) }
}

// drain takes a worker out of use for a while.
func (r *run) drain(d time.Duration) func() {
	h := r.anyHost()
	worker := fmt.Sprintf("%s-%s-0%d", workerGroup[r.site], h.domain, 1+r.rng.IntN(9))
	return func() {
		r.countFault()
		r.note("fault: drain of %s at %s, %d ms", worker, h.name, d.Milliseconds())
		if r.op.change(h, "exec", "drain "+worker+";") != nil {
			return
		}
		s := span{host: worker, from: time.Now()}
		time.Sleep(d)
		s.to = time.Now()
		r.mu.Lock()
		r.drains = append(r.drains, s)
		r.mu.Unlock()
		for r.op.change(h, "exec", "return "+worker+";") != nil && time.Since(s.to) < settle {
			time.Sleep(time.Second)
		}
	}
}

func (r *run) countFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

// cutOff reports whether a cut concerned the hosts of a domain at some time
// between two moments: the domain may then not have known what others knew.
func cutOff(faults []standin.Fault, domain string, from, to time.Time) bool {
	return slices.ContainsFunc(faults, func(f standin.Fault) bool {
		isCut := f.Kind == standin.LinkCut || f.Kind == standin.LinkDelay
		began, ended := f.Began, f.Began.Add(time.Duration(f.DurationMs)*time.Millisecond)
		return isCut && domainOf(f.From) == domain && began.Before(to) && ended.After(from)
	})
}
