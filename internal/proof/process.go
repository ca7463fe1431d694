package proof

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// The pace of a scheduler's process, as in the program.
const (
	tickInterval      = 100 * time.Millisecond
	hostsInterval     = 2 * time.Second
	heartbeatInterval = time.Second
	retryWait         = 500 * time.Millisecond
)

// process runs one core as the scheduler's program does. It may be paused at
// any point, also between a decision and its message.
type process struct {
	w      *World
	host   string
	domain string
	set    scheduler.Settings
	core   *scheduler.Core
	clock  clock
	began  time.Duration
	// awake is when the process last started or resumed.
	awake time.Duration
	// life numbers the processes of the host; what belongs to an earlier life is void.
	life   int
	up     bool
	paused bool
	// held waits for the end of a pause.
	held   []func()
	ticked bool
	recent []configuration.Numbered
	// record takes what the core gets and returns, where it is wanted.
	record func(now time.Duration, ev scheduler.Event, effects []scheduler.Effect)
}

// boot starts the host's next process, which knows nothing.
func (p *process) boot() {
	p.life++
	p.up, p.paused, p.held, p.recent, p.ticked = true, false, nil, nil, false
	p.clock = p.w.newClock()
	p.began, p.awake = p.w.now, p.w.now
	p.set = scheduler.DefaultSettings(p.host, fmt.Sprint(p.life), p.domain)
	p.set.Timing = p.w.timing
	p.core = scheduler.New(p.set)
	p.every(tickInterval, p.tick)
	p.every(hostsInterval, p.pollHosts)
	p.every(heartbeatInterval, p.heartbeat)
	p.readLog()
}

// kill ends the process; nothing is released.
func (p *process) kill() {
	p.life++
	p.up, p.paused, p.held = false, false, nil
}

// pause stops the process as it is.
func (p *process) pause() { p.paused = p.up }

// resume lets a paused process go on: what was on its way out goes out, and
// what came in meanwhile is taken then.
func (p *process) resume() {
	if !p.paused {
		return
	}
	p.paused, p.awake = false, p.w.now
	held := p.held
	p.held = nil
	for _, f := range held {
		f()
	}
}

// run does f in the life that asked for it, when the process isn't paused.
func (p *process) run(life int, f func()) {
	switch {
	case life != p.life:
	case p.paused:
		p.held = append(p.held, func() { p.run(life, f) })
	default:
		f()
	}
}

// every runs f at intervals while this life lasts.
func (p *process) every(interval time.Duration, f func()) {
	life := p.life
	var again func()
	again = func() {
		if life != p.life {
			return
		}
		if !p.paused {
			f()
		}
		p.w.after(interval, again)
	}
	p.w.after(p.w.upTo(interval), again)
}

// local is the time since the process started, by its own clock.
func (p *process) local() time.Duration { return p.clock.read(p.w.now) - p.clock.read(p.began) }

func (p *process) tick() { p.step(scheduler.Tick{}) }

func (p *process) step(ev scheduler.Event) {
	now := p.local()
	effects := p.core.Step(now, ev)
	if p.record != nil {
		p.record(now, ev, effects)
	}
	for _, eff := range effects {
		p.do(eff)
	}
}

// do carries an effect out. A moment passes between decision and message, in
// which the process may be paused.
func (p *process) do(eff scheduler.Effect) {
	life := p.life
	hold := p.w.upTo(time.Millisecond)
	if p.w.chance(p.w.link.held) {
		hold += p.w.upTo(p.w.link.late)
	}
	p.w.after(hold, func() {
		p.run(life, func() {
			switch eff := eff.(type) {
			case scheduler.WriteWorker:
				p.write(eff)
			case scheduler.AppendRecord:
				p.append(eff)
			}
		})
	})
}

// call sends a request and runs what comes back, or fail after the limit. A
// late answer is void.
func (p *process) call(to string, limit time.Duration, serve func(answer func(func())), fail func()) {
	life, done := p.life, false
	answer := func(f func()) {
		p.w.pass(to, p.host, func() {
			p.run(life, func() {
				if !done {
					done = true
					f()
				}
			})
		})
	}
	p.w.pass(p.host, to, func() { serve(answer) })
	p.w.after(limit, func() {
		p.run(life, func() {
			if !done {
				done = true
				fail()
			}
		})
	})
}

func (p *process) write(eff scheduler.WriteWorker) {
	p.w.Writes++
	p.call(eff.Address, p.w.timing.Reply, func(answer func(func())) {
		m := p.w.addresses[eff.Address]
		if m == nil || m.dead {
			return
		}
		reply := m.write(eff)
		answer(func() { p.step(reply) })
	}, func() { p.step(scheduler.WriteFailed{Worker: eff.Worker, Write: eff.Write}) })
}

func (p *process) append(eff scheduler.AppendRecord) {
	data, err := configuration.Encode(eff.Record)
	if err != nil {
		panic(err) // a record of the core's own can be written
	}
	id := eff.Record.ID
	p.call(platformHost, callLimit, func(answer func(func())) {
		p.w.log.append(data, func(int64) { answer(func() { p.step(scheduler.AppendDone{ID: id}) }) })
	}, func() { p.step(scheduler.AppendDone{ID: id, Failed: true}) })
}

func (p *process) readLog() {
	from := p.core.NextOffset()
	again := func() { p.later(retryWait, p.readLog) }
	p.call(platformHost, callLimit, func(answer func(func())) {
		p.w.log.read(from, func(first int64, records []configuration.Numbered) {
			answer(func() {
				if len(records) > 0 || !p.core.Ready() {
					p.learn(first, records, false)
				}
				p.later(0, p.readLog)
			})
		})
	}, again)
}

func (p *process) later(d time.Duration, f func()) {
	life := p.life
	p.w.after(d, func() { p.run(life, f) })
}

// recentMost bounds the records kept for peers.
const recentMost = 5000

func (p *process) learn(first int64, records []configuration.Numbered, relayed bool) {
	for _, r := range records {
		if n := len(p.recent); n == 0 || r.Offset > p.recent[n-1].Offset {
			p.recent = append(p.recent, r)
		}
	}
	if extra := len(p.recent) - recentMost; extra > 0 {
		p.recent = p.recent[extra:]
	}
	p.step(scheduler.LogRead{First: first, Records: records, Relayed: relayed})
}

func (p *process) pollHosts() {
	p.call(platformHost, callLimit, func(answer func(func())) {
		hosts := p.w.listed[p.domain]
		answer(func() { p.step(scheduler.HostsRead{Hosts: hosts}) })
	}, func() {})
}

func (p *process) heartbeat() {
	for _, o := range p.w.processes {
		if o != p {
			p.greet(o)
		}
	}
}

// greet tells a peer this process's state and takes the peer's, and records.
func (p *process) greet(o *process) {
	mine, position := p.state(), p.core.NextOffset()
	p.call(o.host, callLimit, func(answer func(func())) {
		o.run(o.life, func() {
			if !o.up {
				return
			}
			o.heard(mine, p.domain)
			theirs := o.state()
			var records []configuration.Numbered
			for _, r := range o.recent {
				if r.Offset >= position {
					records = append(records, r)
				}
			}
			answer(func() {
				p.heard(theirs, o.domain)
				if len(records) > 0 {
					p.learn(-1, records, true)
				}
			})
		})
	}, func() {})
}

func (p *process) heard(s scheduler.PeerHeard, domain string) {
	if domain == p.domain {
		p.step(s)
	}
}

func (p *process) state() scheduler.PeerHeard {
	return scheduler.PeerHeard{
		Host: p.host, Holder: fmt.Sprintf("%s#%d", p.host, p.life), Position: p.core.NextOffset(), Leader: p.core.Leader(),
	}
}
