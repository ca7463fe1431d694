package proof

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// runnerSlots is how many requests a runner takes at once.
const runnerSlots = 8

// syncInterval is the time between two queries for the directory.
const syncInterval = time.Second

// entry runs one routing core as the entry's program does.
type entry struct {
	life
	core *routing.Core
	// requests holds what was admitted, and answers what runners answered, by ID.
	requests map[uint64]*admitted
	answers  map[uint64]string
	next     uint64
	// lying and mixing are faults of the program itself, which tests put in.
	lying, mixing bool
}

// admitted is a request and how its end goes back.
type admitted struct {
	checker.Request
	service string
	end     func(e routing.Result, body string)
}

func (e *entry) boot(fresh bool) {
	e.start()
	e.requests, e.answers = map[uint64]*admitted{}, map[uint64]string{}
	set := routing.Settings{
		Host: e.host, Incarnation: fmt.Sprint(e.number), Domain: e.domain, Region: e.domain, Peers: e.w.entryPeers(),
		Seed: uint64(e.number), NewDomain: fresh, Timing: routing.DefaultTiming(),
	}
	e.core = routing.New(set)
	e.every(tickInterval, func() { e.step(routing.Tick{}) })
	e.every(syncInterval, e.sync)
	e.every(syncInterval, e.tellLoads)
}

func (w *World) entryPeers() []routing.Peer {
	var list []routing.Peer
	for _, e := range w.entries {
		list = append(list, routing.Peer{Host: e.host, Domain: e.domain, Region: e.domain, Address: e.host})
	}
	return list
}

func (w *World) entryAt(address string) *entry {
	for _, e := range w.entries {
		if e.host == address && e.up {
			return e
		}
	}
	return nil
}

func (e *entry) step(ev routing.Event) {
	// The core reuses its slice of effects.
	for _, eff := range append([]routing.Effect(nil), e.core.Step(e.local(), ev)...) {
		e.do(eff)
	}
}

// do carries an effect out after a moment in which the process may be paused.
func (e *entry) do(eff routing.Effect) {
	hold := e.w.upTo(time.Millisecond)
	if e.w.chance(e.w.link.held) {
		hold += e.w.upTo(e.w.link.late)
	}
	e.later(hold, func() {
		switch eff := eff.(type) {
		case routing.Send:
			e.send(eff)
		case routing.CancelSend:
			e.step(routing.SendFailed{ID: eff.ID, Send: eff.Send, MaybeSent: !e.lying, Replayable: true})
		case routing.Finish:
			e.finish(eff)
		case routing.StoreIntent:
			e.store(eff)
		case routing.ListIntents:
			e.recall(eff)
		case routing.DropResponse:
			delete(e.answers, eff.ID)
		}
	})
}

// sync asks the schedulers of the domain; the holder of the term answers. The
// slots are divided evenly, since their division is not what is proved here.
func (e *entry) sync() {
	sentAt, share := e.local(), 0
	for _, o := range e.w.entries {
		if o.domain == e.domain {
			share++
		}
	}
	for _, p := range e.w.processes {
		if p.domain != e.domain {
			continue
		}
		e.call(p.host, callLimit, func(answer func(func())) {
			p.run(p.number, func() {
				if !p.up || !p.core.Term().HeldAt(p.local()) {
					return
				}
				ev := routing.DirectoryUpdated{SentAt: sentAt}
				for name := range p.core.Catalog().Workloads {
					ev.Services = append(ev.Services, routing.Service{Name: name, Policy: routing.PolicyFast})
				}
				for _, x := range p.core.Directory().Endpoints {
					ev.Runners = append(ev.Runners, routing.Runner{
						Attempt: x.Attempt, Service: x.Service, Task: x.Task, Address: x.Address, Slots: runnerSlots / share, Draining: x.Leaving,
					})
				}
				answer(func() { e.step(ev) })
			})
		}, func() {})
	}
}

func (e *entry) tellLoads() {
	loads := routing.PeerLoadReported{Host: e.host, Services: e.core.Loads()}
	for _, o := range e.w.entries {
		if o.domain != e.domain {
			e.w.pass(e.host, o.host, func() { o.run(o.number, func() { o.step(loads) }) })
		}
	}
}

// admit takes a request at this entry.
func (e *entry) admit(a *admitted, deadline time.Duration, hop bool) {
	e.next++
	id := e.next
	e.requests[id] = a
	e.step(routing.RequestReceived{
		ID: id, Service: a.service, Deadline: e.local() + deadline, Idempotent: a.Idempotent, Key: a.Key, FromEntry: hop,
	})
}

// send carries one request to a runner or another entry, over a connection:
// nothing arrives twice or out of order, but it may be silent for good.
func (e *entry) send(s routing.Send) {
	a := e.requests[s.ID]
	if a == nil {
		return
	}
	if e.local() > s.NotAfter {
		e.step(routing.SendFailed{ID: s.ID, Send: s.Send, Replayable: true})
		return
	}
	e.later(e.w.timing.Reply, func() { e.step(routing.SendProgressed{ID: s.ID, Send: s.Send}) })
	if s.Target == routing.TargetRunner {
		e.sendRunner(s, a)
		return
	}
	e.sendEntry(s, a)
}

// back brings an event of a send home, once.
func (e *entry) back(from string, f func()) {
	number := e.number
	e.w.stream(from, e.host, func() { e.run(number, f) })
}

func (e *entry) sendRunner(s routing.Send, a *admitted) {
	host, failed := e.w.hostOf(s.Address), routing.SendFailed{ID: s.ID, Send: s.Send, Replayable: true}
	e.w.stream(e.host, host, func() {
		r := e.w.runners[s.Address]
		if r == nil {
			e.back(host, func() { e.step(failed) })
			return
		}
		r.serve(a.Request, func() {
			e.back(host, func() { e.step(routing.SendRefused{ID: s.ID, Send: s.Send, Replayable: true}) })
		}, func() {
			e.back(host, func() { e.answered(s, a.Body()) })
		}, func() {
			failed.MaybeSent = !e.lying
			e.back(host, func() { e.step(failed) })
		})
	})
}

func (e *entry) answered(s routing.Send, body string) {
	e.answers[s.ID] = body
	e.step(routing.SendAnswered{ID: s.ID, Send: s.Send, Status: 200})
}

func (e *entry) sendEntry(s routing.Send, a *admitted) {
	host := s.Address
	e.w.stream(e.host, host, func() {
		o := e.w.entryAt(host)
		if o == nil {
			e.back(host, func() { e.step(routing.SendFailed{ID: s.ID, Send: s.Send, Replayable: true}) })
			return
		}
		o.run(o.number, func() {
			o.admit(&admitted{Request: a.Request, service: a.service, end: func(end routing.Result, body string) {
				e.back(host, func() { e.hopEnded(s, end, body) })
			}}, callerWait, true)
		})
	})
}

func (e *entry) hopEnded(s routing.Send, end routing.Result, body string) {
	switch end.Outcome {
	case routing.OutcomeAnswered:
		e.answered(s, body)
	case routing.OutcomeNotRun:
		e.step(routing.SendRefused{ID: s.ID, Send: s.Send, RetryAfter: end.RetryAfter, Replayable: true, Reason: end.Reason})
	default:
		e.step(routing.SendFailed{ID: s.ID, Send: s.Send, MaybeSent: true, Unknown: true, Replayable: true})
	}
}

func (e *entry) finish(f routing.Finish) {
	a := e.requests[f.ID]
	if a == nil {
		return
	}
	delete(e.requests, f.ID)
	id := f.ID
	if f.Result.ReplayOf != 0 {
		id = f.Result.ReplayOf
	}
	if e.mixing {
		id--
	}
	body, ok := e.answers[id]
	if f.Result.Outcome == routing.OutcomeAnswered && !ok {
		// Answered before, and the answer is gone: the caller is told just that.
		f.Result.Outcome = routing.OutcomeUnknown
	}
	a.end(f.Result, body)
}

func (e *entry) store(s routing.StoreIntent) {
	stored := routing.StoreIntentDone{Intent: s.Intent, Host: s.Host}
	failed := stored
	failed.Failed = true
	e.ask(s.Address, routing.StoreIntentRequested{Intent: s.Intent}, failed, func(eff routing.Effect) (routing.Event, bool) {
		r, ok := eff.(routing.StoreIntentReply)
		stored.Conflict = r.Conflict
		return stored, ok
	})
}

func (e *entry) recall(s routing.ListIntents) {
	e.ask(s.Address, routing.ListIntentsRequested{}, routing.IntentsListed{Host: s.Host, Failed: true}, func(eff routing.Effect) (routing.Event, bool) {
		r, ok := eff.(routing.ListIntentsReply)
		return routing.IntentsListed{Host: s.Host, Complete: r.Complete, Intents: r.Intents}, ok
	})
}

// ask brings an event to another entry, and what that replies back.
func (e *entry) ask(address string, ev, failed routing.Event, reply func(routing.Effect) (routing.Event, bool)) {
	e.call(address, e.w.timing.Reply, func(answer func(func())) {
		o := e.w.entryAt(address)
		if o == nil {
			return
		}
		o.run(o.number, func() {
			for _, eff := range o.core.Step(o.local(), ev) {
				if r, ok := reply(eff); ok {
					answer(func() { e.step(r) })
				} else {
					o.do(eff)
				}
			}
		})
	}, func() { e.step(failed) })
}
