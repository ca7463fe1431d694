package proof

import "time"

// life is a process on a host of a failure domain. It may be paused at any
// point, also between a decision and its message.
type life struct {
	w      *World
	host   string
	domain string
	clock  clock
	began  time.Duration
	// awake is when the process last started or resumed.
	awake time.Duration
	// number counts the processes of the host; what belongs to an earlier one is void.
	number int
	up     bool
	paused bool
	// held waits for the end of a pause.
	held []func()
}

func (p *life) start() {
	p.number++
	p.up, p.paused, p.held = true, false, nil
	p.clock = p.w.newClock()
	p.began, p.awake = p.w.now, p.w.now
}

// kill ends the process; nothing is released.
func (p *life) kill() {
	p.number++
	p.up, p.paused, p.held = false, false, nil
}

// pause stops the process as it is.
func (p *life) pause() { p.paused = p.up }

// resume lets a paused process go on: what was on its way out goes out, and
// what came in meanwhile is taken then.
func (p *life) resume() {
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

// down ends the process and starts the next one after a time.
func (p *life) down(d time.Duration, boot func()) {
	p.kill()
	number := p.number
	p.w.after(d, func() {
		if p.number == number {
			boot()
		}
	})
}

// stall pauses the process until a time.
func (p *life) stall(until time.Duration) {
	number := p.number
	p.pause()
	p.w.at(until, func() {
		if p.number == number {
			p.resume()
		}
	})
}

// run does f in the life that asked for it, when the process isn't paused.
func (p *life) run(number int, f func()) {
	switch {
	case number != p.number:
	case p.paused:
		p.held = append(p.held, func() { p.run(number, f) })
	default:
		f()
	}
}

// every runs f at intervals while this life lasts.
func (p *life) every(interval time.Duration, f func()) {
	number := p.number
	var again func()
	again = func() {
		if number != p.number {
			return
		}
		if !p.paused {
			f()
		}
		p.w.after(interval, again)
	}
	p.w.after(p.w.upTo(interval), again)
}

// later runs f after a time, in this life.
func (p *life) later(d time.Duration, f func()) {
	number := p.number
	p.w.after(d, func() { p.run(number, f) })
}

// local is the time since the process started, by its own clock.
func (p *life) local() time.Duration { return p.clock.read(p.w.now) - p.clock.read(p.began) }

// call sends a request and runs what comes back, or fail after the limit. A
// late answer is void.
func (p *life) call(to string, limit time.Duration, serve func(answer func(func())), fail func()) {
	number, done := p.number, false
	answer := func(f func()) {
		p.w.pass(to, p.host, func() {
			p.run(number, func() {
				if !done {
					done = true
					f()
				}
			})
		})
	}
	p.w.pass(p.host, to, func() { serve(answer) })
	p.w.after(limit, func() {
		p.run(number, func() {
			if !done {
				done = true
				fail()
			}
		})
	})
}
