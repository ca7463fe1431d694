package routing_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// domain is a failure domain of three entries in virtual time. Messages are
// lost, delayed and delivered after their sender gave up; entries pause, die and
// are replaced. It judges by what the runner saw and callers were told.
type domain struct {
	t       *rapid.T
	now     time.Duration
	order   int
	agenda  []action
	entries map[string]*process
	runs    map[string]int
	// ran holds the callers' requests that a runner ran.
	ran map[int]bool
}

type action struct {
	at    time.Duration
	order int
	do    func()
}

// process is one incarnation of an entry.
type process struct {
	core *routing.Core
	name string
	base time.Duration
	// leasedAt is when the process last got a lease; former is when that of the
	// earlier process of its host has run out.
	leasedAt, former time.Duration
	dead             bool
	paused           bool
	backlog          []func()
	ids              uint64
	// ends tells who waits for a request's end, and asked which caller it is of.
	ends    map[uint64]func(routing.Ending)
	asked   map[uint64]asked
	replies map[uint64]func(routing.Effect)
}

type asked struct {
	key    string
	caller int
}

var threeEntries = []routing.Peer{
	{Host: "a1", Domain: "a", Address: "a1"}, {Host: "a2", Domain: "a", Address: "a2"}, {Host: "a3", Domain: "a", Address: "a3"},
}

func (d *domain) start(name string, first bool) {
	set := settings(name)
	set.Peers, set.NewDomain, set.Incarnation = threeEntries, first, fmt.Sprint(d.now)
	former := time.Duration(0)
	if old := d.entries[name]; old != nil {
		former = old.leasedAt + 10*time.Second + 50*time.Millisecond
	}
	d.entries[name] = &process{
		leasedAt: d.now, former: former,
		core: routing.New(set), name: name, base: d.now, ends: map[uint64]func(routing.Ending){},
		asked: map[uint64]asked{}, replies: map[uint64]func(routing.Effect){},
	}
}

func (d *domain) after(wait time.Duration, do func()) {
	d.order++
	d.agenda = append(d.agenda, action{d.now + wait, d.order, do})
}

func (d *domain) ms(label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(d.t, label)) * time.Millisecond
}

// run does what is due in the next span.
func (d *domain) run(span time.Duration) {
	for end := d.now + span; ; {
		sort.Slice(d.agenda, func(i, j int) bool {
			a, b := d.agenda[i], d.agenda[j]
			return a.at < b.at || a.at == b.at && a.order < b.order
		})
		if len(d.agenda) == 0 || d.agenda[0].at > end {
			d.now = end
			return
		}
		next := d.agenda[0]
		d.agenda = d.agenda[1:]
		d.now = next.at
		next.do()
	}
}

// at has p do something, once it is no longer paused, unless it has died.
func (p *process) at(do func()) {
	switch {
	case p.dead:
	case p.paused:
		p.backlog = append(p.backlog, do)
	default:
		do()
	}
}

func (d *domain) step(p *process, ev routing.Event) {
	p.at(func() {
		for _, e := range append([]routing.Effect(nil), p.core.Step(d.now-p.base, ev)...) {
			d.do(p, e)
		}
	})
}

func (d *domain) do(p *process, e routing.Effect) {
	switch e := e.(type) {
	case routing.Send:
		wait := d.ms("send", 1500)
		d.after(wait, func() { p.at(func() { d.send(p, e) }) })
	case routing.Finish:
		if end := p.ends[e.ID]; end != nil {
			end(e.Ending)
		}
	case routing.GiveUp:
		d.step(p, routing.Failed{ID: e.ID, Send: e.Send, Reached: true})
	case routing.IntentReply:
		p.replies[e.Call](e)
	case routing.RecallReply:
		p.replies[e.Call](e)
	case routing.StoreIntent:
		d.ask(p, e.Host, func(call uint64) routing.Event { return routing.IntentHeard{Call: call, Intent: e.Intent} }, func(r routing.Effect) {
			reply, ok := r.(routing.IntentReply)
			d.step(p, routing.IntentStored{Intent: e.Intent, Host: e.Host, Failed: !ok, Conflict: reply.Conflict})
		})
	case routing.Recall:
		d.ask(p, e.Host, func(call uint64) routing.Event { return routing.RecallHeard{Call: call} }, func(r routing.Effect) {
			reply, ok := r.(routing.RecallReply)
			d.step(p, routing.Recalled{Host: e.Host, Failed: !ok, Complete: reply.Complete, Intents: reply.Intents})
		})
	}
}

// ask sends a message that may be lost either way; the sender gives up after a second.
func (d *domain) ask(p *process, to string, event func(uint64) routing.Event, reply func(routing.Effect)) {
	over := false
	answer := func(e routing.Effect) {
		if !over {
			over = true
			reply(e)
		}
	}
	d.after(time.Second, func() { answer(nil) })
	if rapid.IntRange(0, 9).Draw(d.t, "query lost") == 0 {
		return
	}
	d.after(d.ms("query", 1500), func() {
		q := d.entries[to]
		q.ids++
		q.replies[q.ids] = func(e routing.Effect) {
			if rapid.IntRange(0, 9).Draw(d.t, "reply lost") > 0 {
				answer(e)
			}
		}
		d.step(q, event(q.ids))
	})
}

func (d *domain) send(p *process, s routing.Send) {
	from := p.asked[s.ID]
	if d.now-p.base >= s.NotAfter {
		d.step(p, routing.Failed{ID: s.ID, Send: s.Send, Replayable: true})
		return
	}
	how := rapid.SampledFrom([]string{"ok", "ok", "ok", "unreached", "lost", "lost after"}).Draw(d.t, "how")
	switch {
	case how == "unreached":
		d.step(p, routing.Failed{ID: s.ID, Send: s.Send, Replayable: true})
		return
	case how == "lost":
	case s.Target == routing.ToHome:
		d.admit(d.entries[s.Address], from, true, func(e routing.Ending) { d.passBack(p, s, e, how) })
		return
	default:
		d.runs[from.key]++
		d.ran[from.caller] = true
		if d.runs[from.key] > 1 {
			d.t.Fatalf("key %s ran %d times", from.key, d.runs[from.key])
		}
	}
	if how == "ok" {
		d.after(d.ms("work", 5000), func() { d.step(p, routing.Answered{ID: s.ID, Send: s.Send, Status: 200}) })
		return
	}
	d.step(p, routing.Failed{ID: s.ID, Send: s.Send, Reached: true, Replayable: true})
}

// passBack brings a home's ending to the entry that passed the request on.
func (d *domain) passBack(p *process, s routing.Send, e routing.Ending, how string) {
	switch {
	case how == "lost after":
		d.step(p, routing.Failed{ID: s.ID, Send: s.Send, Reached: true})
	case e.Outcome == routing.OutcomeAnswered:
		d.step(p, routing.Answered{ID: s.ID, Send: s.Send, Status: 200})
	case e.Outcome == routing.OutcomeNotRun:
		d.step(p, routing.Refused{ID: s.ID, Send: s.Send, Reason: e.Reason})
	default:
		d.step(p, routing.Failed{ID: s.ID, Send: s.Send, Reached: true, Unknown: true, Reason: e.Reason, RetryAfter: e.RetryAfter})
	}
}

func (d *domain) admit(p *process, a asked, hop bool, end func(routing.Ending)) {
	p.ids++
	id := p.ids
	p.asked[id], p.ends[id] = a, end
	d.step(p, routing.Admit{ID: id, Service: "s", Key: a.key, Hop: hop, Deadline: d.now - p.base + d.ms("deadline", 30000)})
}

// call sends a caller's request to an entry.
func (d *domain) call(p *process, caller int, key string) {
	d.admit(p, asked{key, caller}, false, func(e routing.Ending) {
		if e.Outcome == routing.OutcomeNotRun && d.ran[caller] {
			d.t.Fatalf("request %d ran and is called not run: %s", caller, e.Reason)
		}
		if e.Outcome == routing.OutcomeNotRun && d.runs[key] > 0 {
			d.t.Fatalf("key %s ran before and is called not run: %s", key, e.Reason)
		}
		if e.Outcome == routing.OutcomeAnswered && d.runs[key] != 1 {
			d.t.Fatalf("key %s is called answered and ran %d times", key, d.runs[key])
		}
	})
}

// tick renews the leases of the newest processes and lets time pass in all.
func (d *domain) tick() {
	for _, e := range threeEntries {
		p := d.entries[e.Host]
		ev := directory(2, 4)
		ev.SentAt = d.now - p.base
		former := max(0, p.former-d.now)
		p.leasedAt, ev.Former = d.now, &former
		d.step(p, ev)
	}
	d.after(500*time.Millisecond, d.tick)
}

func (d *domain) fault(name, kind string) {
	p := d.entries[name]
	switch kind {
	case "kill":
		p.dead = true
		d.start(name, false)
	case "replace paused":
		p.paused = true
		d.start(name, false)
		d.after(d.ms("pause", 60000), func() { d.resume(p) })
	case "pause":
		p.paused = true
		d.after(d.ms("pause", 30000), func() { d.resume(p) })
	}
}

func (d *domain) resume(p *process) {
	p.paused = false
	list := p.backlog
	p.backlog = nil
	for _, do := range list {
		p.at(do)
	}
}

func TestAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &domain{t: t, entries: map[string]*process{}, runs: map[string]int{}, ran: map[int]bool{}}
		for _, e := range threeEntries {
			d.start(e.Host, true)
		}
		d.tick()
		for caller := range rapid.IntRange(1, 25).Draw(t, "events") {
			name := rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "entry")
			switch kind := rapid.SampledFrom([]string{"call", "call", "call", "call", "kill", "pause", "replace paused", "long"}).Draw(t, "kind"); kind {
			case "call":
				d.call(d.entries[name], caller, fmt.Sprint("a.", rapid.IntRange(0, 2).Draw(t, "key")))
			case "long":
				d.run(12 * time.Second)
			default:
				d.fault(name, kind)
			}
			d.run(d.ms("pass", 3000))
		}
		d.run(70 * time.Second)
	})
}
