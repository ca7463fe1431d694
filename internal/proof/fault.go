package proof

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// Fault is one of the failures of the brief.
type Fault string

// The faults.
const (
	ProcessKilled  Fault = "process killed"
	PausedPast     Fault = "paused past its lease"
	HostReplaced   Fault = "host replaced"
	PlatformCut    Fault = "domain cut from platform"
	DomainsCut     Fault = "domains cut from each other"
	HostCut        Fault = "one host cut"
	LogDown        Fault = "log down"
	LogSlow        Fault = "log slow"
	ReplyLost      Fault = "reply lost after the effect"
	OperatorsRace  Fault = "operators racing"
	SilentLink     Fault = "connection silent"
	WorkerFailing  Fault = "worker failing everything"
	SizesOff       Fault = "sizes off by 10 times"
	CancellingWave Fault = "cancellation wave"
)

// Faults lists all faults.
var Faults = []Fault{
	ProcessKilled, PausedPast, HostReplaced, PlatformCut, DomainsCut, HostCut, LogDown, LogSlow,
	ReplyLost, OperatorsRace, SilentLink, WorkerFailing, SizesOff, CancellingWave,
}

// Bounds on how long faults last.
const (
	briefFault = time.Second
	longFault  = 50 * time.Second
)

// inject makes the fault happen now.
func (h *history) inject(f Fault) {
	w := h.World
	for_ := w.between(briefFault, longFault)
	until := w.now + for_
	switch f {
	case ProcessKilled:
		h.kill(h.victim(), for_/3)
	case PausedPast:
		p := h.victim()
		if e := h.entryAt(p.host + entrySuffix); h.chance(700) && e != nil {
			e.stall(until)
		}
		p.stall(until)
	case HostReplaced:
		h.replace()
	case PlatformCut:
		h.cutPlatform(pick(w, w.domains), until)
	case DomainsCut:
		h.cutDomains(until)
	case HostCut:
		h.cutHost(until)
	case LogDown:
		w.log.down = until
		h.unheard(until)
	case LogSlow:
		w.log.slow = until
		h.unheard(until + slowest)
	case ReplyLost:
		w.log.forgetful = 500
		lost := w.link.lost
		w.link.lost = 50
		w.after(for_, func() { w.log.forgetful, w.link.lost = 0, lost })
	case OperatorsRace:
		h.race()
	case SilentLink:
		h.silence(until)
	case WorkerFailing:
		m := pick(w, w.machines)
		m.FailAfter = failAfter
		w.after(for_, func() { m.FailAfter = 0 })
	case SizesOff:
		h.usage = pick(w, []int64{1, 100})
		h.misreport()
	case CancellingWave:
		h.cancelAll()
	}
}

func pick[T any](w *World, list []T) T { return list[w.rand.IntN(len(list))] }

// victim is a leader more often than not, since its loss matters most.
func (h *history) victim() *process {
	w := h.World
	if p := w.leader(pick(w, w.domains)); p != nil && w.chance(700) {
		return p
	}
	return pick(w, w.processes)
}

// killEntry ends the entry of a host, mostly together with its scheduler.
func (h *history) killEntry(host string, down time.Duration) {
	e := h.entryAt(host)
	if e == nil || h.chance(300) {
		return
	}
	e.down(down, func() { e.boot(false) })
}

func (h *history) kill(p *process, down time.Duration) {
	if !p.up {
		return
	}
	h.killEntry(p.host+entrySuffix, down)
	p.down(down, p.boot)
}

// replace restarts a worker, puts another machine under its address or at
// another one, or replaces an entry host.
func (h *history) replace() {
	w := h.World
	domain := pick(w, w.domains)
	i := w.rand.IntN(len(w.hosts[domain]))
	host := &w.hosts[domain][i]
	m := w.addresses[host.Address]
	switch w.rand.IntN(4) {
	case 0:
		m.Restart()
	case 1:
		m.dead = true
		m.Lose()
		h.replaced++
		w.addresses[host.Address] = w.newMachine(host.Name+h.suffix(), w.newClock(), w.upTo(time.Second), m.Capacity)
	case 2:
		// The former machine goes on under its old address.
		h.replaced++
		address := host.Name + h.suffix()
		w.addresses[address] = w.newMachine(address, w.newClock(), w.between(time.Second, time.Hour), m.Capacity)
		host.Address = address
		w.publish(domain)
	case 3:
		h.kill(h.victim(), time.Second)
	}
}

func (h *history) cutPlatform(domain string, until time.Duration) {
	for _, p := range h.World.processes {
		if p.domain == domain {
			h.World.cutBoth(p.host, platformHost, until)
		}
	}
	h.unheard(until)
}

func (h *history) cutDomains(until time.Duration) {
	for _, a := range h.World.processes {
		for _, b := range h.World.processes {
			if a.domain != b.domain {
				h.World.cutBoth(a.host, b.host, until)
				h.World.cutBoth(a.host+entrySuffix, b.host+entrySuffix, until)
			}
		}
	}
}

// cutHost cuts one entry host from its peers, the platform, workers, or all.
func (h *history) cutHost(until time.Duration) {
	w := h.World
	p := h.victim()
	kind := w.rand.IntN(4)
	if kind == 0 || kind == 3 {
		for _, o := range w.processes {
			w.cutBoth(p.host, o.host, until)
			w.cutBoth(p.host+entrySuffix, o.host+entrySuffix, until)
		}
	}
	if kind == 1 || kind == 3 {
		w.cutBoth(p.host, platformHost, until)
		h.unheard(until)
	}
	if kind == 2 || kind == 3 {
		share := 300 + w.rand.IntN(700)
		for _, host := range w.hosts[p.domain] {
			if w.chance(share) {
				w.cutBoth(p.host, host.Address, until)
				w.cutBoth(p.host+entrySuffix, host.Address, until)
			}
		}
	}
}

// silence makes one direction between an entry host and others go silent.
func (h *history) silence(until time.Duration) {
	w := h.World
	p := h.victim()
	for _, host := range w.hosts[p.domain] {
		if w.chance(400) {
			from, to := p.host, host.Address
			if w.chance(500) {
				from, to = to, from
			}
			w.cut(from, to, until)
			if from == p.host {
				from += entrySuffix
			} else {
				to += entrySuffix
			}
			w.cut(from, to, until)
		}
	}
}

// misreport makes machines report a use far from what was declared.
func (h *history) misreport() {
	for _, m := range h.World.machines {
		for _, t := range m.Tasks {
			use := t.Size.Scale(h.usage)
			use.MilliCPU /= 10
			use.MemoryMiB /= 10
			m.Report(t, use)
		}
	}
}

func (h *history) cancelAll() {
	var c configuration.Cancel
	for name := range h.declared {
		c.Workloads = append(c.Workloads, name)
	}
	h.cancel(c)
}
