package proof

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// The pace of a scheduler's process, as in the program.
const (
	tickInterval      = 100 * time.Millisecond
	hostsInterval     = 2 * time.Second
	heartbeatInterval = time.Second
	retryWait         = 500 * time.Millisecond
	tenureWait        = 300 * time.Millisecond
	tenureTimeout     = 1500 * time.Millisecond
	tenureRetry       = 250 * time.Millisecond
)

// process runs one core as the scheduler's program does.
type process struct {
	life
	set    scheduler.Settings
	core   *scheduler.Core
	recent []configuration.Numbered
	// record takes what the core gets and returns, where it is wanted.
	record func(now time.Duration, ev scheduler.Event, effects []scheduler.Effect)
}

// boot starts the host's next process, which knows nothing.
func (p *process) boot() {
	p.start()
	p.recent = nil
	p.set = scheduler.DefaultSettings(p.host, fmt.Sprint(p.number), p.domain)
	p.set.Timing = p.w.timing
	p.core = scheduler.New(p.set)
	p.every(tickInterval, p.tick)
	p.every(hostsInterval, p.pollHosts)
	p.every(heartbeatInterval, p.heartbeat)
	p.readLog()
	p.readTenure(0)
}

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
	number := p.number
	hold := p.w.upTo(time.Millisecond)
	if p.w.chance(p.w.link.held) {
		hold += p.w.upTo(p.w.link.late)
	}
	p.w.after(hold, func() {
		p.run(number, func() {
			switch eff := eff.(type) {
			case scheduler.WriteWorker:
				p.write(eff)
			case scheduler.AppendRecord:
				p.append(eff)
			case scheduler.AppendTenure:
				p.appendTenure(eff)
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
		reply := m.Write(eff)
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
		p.w.log.append(data, anyEnd, func(int64, bool) { answer(func() { p.step(scheduler.AppendDone{ID: id}) }) })
	}, func() { p.step(scheduler.AppendDone{ID: id, Failed: true}) })
}

func (p *process) readLog() {
	from := p.core.NextOffset()
	again := func() { p.later(retryWait, p.readLog) }
	p.call(platformHost, callLimit, func(answer func(func())) {
		p.w.log.read(from, readWait, func(first int64, records []configuration.Numbered) {
			answer(func() {
				if len(records) > 0 || !p.core.Ready() {
					p.learn(first, records)
				}
				p.later(0, p.readLog)
			})
		})
	}, again)
}

func (p *process) appendTenure(eff scheduler.AppendTenure) {
	done := scheduler.TenureAppended{Record: eff.Record}
	sent := p.local()
	end := func(offset int64, ok bool) {
		done.Offset, done.Failed, done.Took = offset, !ok, p.local()-sent
		if eff.End >= 0 {
			p.step(done)
		}
	}
	p.call(platformHost, tenureTimeout, func(answer func(func())) {
		p.w.tenures[p.domain].append(eff.Record.Encode(), eff.End, func(offset int64, ok bool) { answer(func() { end(offset, ok) }) })
	}, func() { end(0, false) })
}

func (p *process) readTenure(from int64) {
	p.call(platformHost, callLimit, func(answer func(func())) {
		p.w.tenures[p.domain].read(from, tenureWait, func(first int64, records []configuration.Numbered) {
			answer(func() {
				ev := scheduler.TenureRead{First: first, End: from}
				for _, n := range records {
					r, err := tenure.Decode(n.Data)
					if err != nil {
						panic(err) // cores write records that can be read
					}
					ev.Offsets, ev.Records, ev.End = append(ev.Offsets, n.Offset), append(ev.Records, r), n.Offset+1
				}
				p.step(ev)
				p.later(0, func() { p.readTenure(ev.End) })
			})
		})
	}, func() {
		p.step(scheduler.TenureUnread{})
		p.later(tenureRetry, func() { p.readTenure(from) })
	})
}

// recentMost bounds the records kept for peers.
const recentMost = 5000

func (p *process) learn(first int64, records []configuration.Numbered) {
	for _, r := range records {
		if n := len(p.recent); n == 0 || r.Offset > p.recent[n-1].Offset {
			p.recent = append(p.recent, r)
		}
	}
	if extra := len(p.recent) - recentMost; extra > 0 {
		p.recent = p.recent[extra:]
	}
	p.step(scheduler.LogRead{First: first, Records: records})
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

// greet tells a peer how far this process has read the log, and takes records from it.
func (p *process) greet(o *process) {
	position := p.core.NextOffset()
	p.call(o.host, callLimit, func(answer func(func())) {
		o.run(o.number, func() {
			if !o.up {
				return
			}
			var records []configuration.Numbered
			for _, r := range o.recent {
				if r.Offset >= position {
					records = append(records, r)
				}
			}
			answer(func() {
				if len(records) > 0 {
					p.learn(-1, records)
				}
			})
		})
	}, func() {})
}
