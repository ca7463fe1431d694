package routing_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// simulatedDomain is a failure domain of three entries in virtual time.
// Messages are lost, delayed, or delivered after their sender has timed out;
// entries pause, crash and are replaced. The checks use only what the runner
// ran and what callers were told.
type simulatedDomain struct {
	t         *rapid.T
	now       time.Duration
	seq       int
	pending   []action
	entries   map[string]*process
	runsByKey map[string]int
	// ranByCaller is set for callers whose requests a runner ran.
	ranByCaller map[int]bool
}

type action struct {
	at  time.Duration
	seq int
	do  func()
}

// process is one incarnation of an entry.
type process struct {
	core      *routing.Core
	name      string
	startedAt time.Duration
	// leasedAt is when the process last received a lease. previousLeaseUntil is
	// when the lease of the host's earlier process has expired.
	leasedAt, previousLeaseUntil time.Duration
	dead                         bool
	paused                       bool
	backlog                      []func()
	lastID                       uint64
	// onResult holds the callback for each request's result, and requests the
	// caller that each request belongs to.
	onResult map[uint64]func(routing.Result)
	requests map[uint64]callerRequest
	replies  map[uint64]func(routing.Effect)
}

type callerRequest struct {
	key    string
	caller int
}

var domainPeers = []routing.Peer{
	{Host: "a1", Domain: "a", Address: "a1"}, {Host: "a2", Domain: "a", Address: "a2"}, {Host: "a3", Domain: "a", Address: "a3"},
}

func (d *simulatedDomain) start(name string, newDomain bool) {
	set := settings(name)
	set.Peers, set.NewDomain, set.Incarnation = domainPeers, newDomain, fmt.Sprint(d.now)
	leaseUntil := time.Duration(0)
	if old := d.entries[name]; old != nil {
		leaseUntil = old.leasedAt + 10*time.Second + 50*time.Millisecond
	}
	d.entries[name] = &process{
		leasedAt: d.now, previousLeaseUntil: leaseUntil,
		core: routing.New(set), name: name, startedAt: d.now, onResult: map[uint64]func(routing.Result){},
		requests: map[uint64]callerRequest{}, replies: map[uint64]func(routing.Effect){},
	}
}

func (d *simulatedDomain) after(wait time.Duration, do func()) {
	d.seq++
	d.pending = append(d.pending, action{d.now + wait, d.seq, do})
}

func (d *simulatedDomain) drawDelay(label string, maxMillis int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMillis).Draw(d.t, label)) * time.Millisecond
}

// advance runs the actions that are due within the span.
func (d *simulatedDomain) advance(span time.Duration) {
	for end := d.now + span; ; {
		sort.Slice(d.pending, func(i, j int) bool {
			a, b := d.pending[i], d.pending[j]
			return a.at < b.at || a.at == b.at && a.seq < b.seq
		})
		if len(d.pending) == 0 || d.pending[0].at > end {
			d.now = end
			return
		}
		next := d.pending[0]
		d.pending = d.pending[1:]
		d.now = next.at
		next.do()
	}
}

// whenRunning runs do, after the pause if p is paused, or never if p is dead.
func (p *process) whenRunning(do func()) {
	switch {
	case p.dead:
	case p.paused:
		p.backlog = append(p.backlog, do)
	default:
		do()
	}
}

func (d *simulatedDomain) step(p *process, ev routing.Event) {
	p.whenRunning(func() {
		for _, e := range append([]routing.Effect(nil), p.core.Step(d.now-p.startedAt, ev)...) {
			d.apply(p, e)
		}
	})
}

func (d *simulatedDomain) apply(p *process, e routing.Effect) {
	switch e := e.(type) {
	case routing.Send:
		wait := d.drawDelay("send", 1500)
		d.after(wait, func() { p.whenRunning(func() { d.send(p, e) }) })
	case routing.Finish:
		if end := p.onResult[e.ID]; end != nil {
			end(e.Result)
		}
	case routing.CancelSend:
		d.step(p, routing.SendFailed{ID: e.ID, Send: e.Send, MaybeSent: true})
	case routing.StoreIntentReply:
		p.replies[e.Call](e)
	case routing.ListIntentsReply:
		p.replies[e.Call](e)
	case routing.StoreIntent:
		d.query(p, e.Host, func(call uint64) routing.Event { return routing.StoreIntentRequested{Call: call, Intent: e.Intent} }, func(r routing.Effect) {
			reply, ok := r.(routing.StoreIntentReply)
			d.step(p, routing.StoreIntentDone{Intent: e.Intent, Host: e.Host, Failed: !ok, Conflict: reply.Conflict})
		})
	case routing.ListIntents:
		d.query(p, e.Host, func(call uint64) routing.Event { return routing.ListIntentsRequested{Call: call} }, func(r routing.Effect) {
			reply, ok := r.(routing.ListIntentsReply)
			d.step(p, routing.IntentsListed{Host: e.Host, Failed: !ok, Complete: reply.Complete, Intents: reply.Intents})
		})
	}
}

// query sends a message whose request or reply may be lost. The sender times
// out after one second.
func (d *simulatedDomain) query(p *process, to string, event func(uint64) routing.Event, reply func(routing.Effect)) {
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
	d.after(d.drawDelay("query", 1500), func() {
		q := d.entries[to]
		q.lastID++
		q.replies[q.lastID] = func(e routing.Effect) {
			if rapid.IntRange(0, 9).Draw(d.t, "reply lost") > 0 {
				answer(e)
			}
		}
		d.step(q, event(q.lastID))
	})
}

func (d *simulatedDomain) send(p *process, s routing.Send) {
	from := p.requests[s.ID]
	if d.now-p.startedAt >= s.NotAfter {
		d.step(p, routing.SendFailed{ID: s.ID, Send: s.Send, Replayable: true})
		return
	}
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "unreached", "lost", "lost after"}).Draw(d.t, "how")
	switch {
	case fate == "unreached":
		d.step(p, routing.SendFailed{ID: s.ID, Send: s.Send, Replayable: true})
		return
	case fate == "lost":
	case s.Target == routing.TargetHome:
		d.admit(d.entries[s.Address], from, true, func(e routing.Result) { d.returnResult(p, s, e, fate) })
		return
	default:
		d.runsByKey[from.key]++
		d.ranByCaller[from.caller] = true
		if d.runsByKey[from.key] > 1 {
			d.t.Fatalf("key %s ran %d times", from.key, d.runsByKey[from.key])
		}
	}
	if fate == "ok" {
		d.after(d.drawDelay("work", 5000), func() { d.step(p, routing.SendAnswered{ID: s.ID, Send: s.Send, Status: 200}) })
		return
	}
	d.step(p, routing.SendFailed{ID: s.ID, Send: s.Send, MaybeSent: true, Replayable: true})
}

// returnResult delivers the home's result to the entry that forwarded the
// request.
func (d *simulatedDomain) returnResult(p *process, s routing.Send, res routing.Result, fate string) {
	switch {
	case fate == "lost after":
		d.step(p, routing.SendFailed{ID: s.ID, Send: s.Send, MaybeSent: true})
	case res.Outcome == routing.OutcomeAnswered:
		d.step(p, routing.SendAnswered{ID: s.ID, Send: s.Send, Status: 200})
	case res.Outcome == routing.OutcomeNotRun:
		d.step(p, routing.SendRefused{ID: s.ID, Send: s.Send, Reason: res.Reason})
	default:
		d.step(p, routing.SendFailed{ID: s.ID, Send: s.Send, MaybeSent: true, Unknown: true, Reason: res.Reason, RetryAfter: res.RetryAfter})
	}
}

func (d *simulatedDomain) admit(p *process, a callerRequest, hop bool, end func(routing.Result)) {
	p.lastID++
	id := p.lastID
	p.requests[id], p.onResult[id] = a, end
	d.step(p, routing.RequestReceived{ID: id, Service: "s", Key: a.key, FromEntry: hop, Deadline: d.now - p.startedAt + d.drawDelay("deadline", 30000)})
}

// call sends a caller's request to an entry and checks the result.
func (d *simulatedDomain) call(p *process, caller int, key string) {
	d.admit(p, callerRequest{key, caller}, false, func(res routing.Result) {
		if res.Outcome == routing.OutcomeNotRun && d.ranByCaller[caller] {
			d.t.Fatalf("request %d ran but was reported as not run: %s", caller, res.Reason)
		}
		if res.Outcome == routing.OutcomeNotRun && d.runsByKey[key] > 0 {
			d.t.Fatalf("key %s ran before but was reported as not run: %s", key, res.Reason)
		}
		if res.Outcome == routing.OutcomeAnswered && d.runsByKey[key] != 1 {
			d.t.Fatalf("key %s was reported as answered but ran %d times", key, d.runsByKey[key])
		}
	})
}

// tick renews the lease of the current process of each host, now and every 500
// ms.
func (d *simulatedDomain) tick() {
	for _, e := range domainPeers {
		p := d.entries[e.Host]
		ev := directory(2, 4)
		ev.SentAt = d.now - p.startedAt
		remaining := max(0, p.previousLeaseUntil-d.now)
		p.leasedAt, ev.PreviousLeaseRemaining = d.now, &remaining
		d.step(p, ev)
	}
	d.after(500*time.Millisecond, d.tick)
}

func (d *simulatedDomain) fault(name, kind string) {
	p := d.entries[name]
	switch kind {
	case "kill":
		p.dead = true
		d.start(name, false)
	case "replace paused":
		p.paused = true
		d.start(name, false)
		d.after(d.drawDelay("pause", 60000), func() { d.resume(p) })
	case "pause":
		p.paused = true
		d.after(d.drawDelay("pause", 30000), func() { d.resume(p) })
	}
}

func (d *simulatedDomain) resume(p *process) {
	p.paused = false
	list := p.backlog
	p.backlog = nil
	for _, do := range list {
		p.whenRunning(do)
	}
}

// TestKeyRunsAtMostOnce checks that requests with the same idempotency key run
// at most once, and that no caller is told "not run" or "answered" wrongly, while
// entries crash, pause or are replaced and messages are lost or late.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &simulatedDomain{t: t, entries: map[string]*process{}, runsByKey: map[string]int{}, ranByCaller: map[int]bool{}}
		for _, e := range domainPeers {
			d.start(e.Host, true)
		}
		d.tick()
		for caller := range rapid.IntRange(1, 25).Draw(t, "events") {
			name := rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "entry")
			switch kind := rapid.SampledFrom([]string{"call", "call", "call", "call", "kill", "pause", "replace paused", "long"}).Draw(t, "kind"); kind {
			case "call":
				d.call(d.entries[name], caller, fmt.Sprint("a.", rapid.IntRange(0, 2).Draw(t, "key")))
			case "long":
				d.advance(12 * time.Second)
			default:
				d.fault(name, kind)
			}
			d.advance(d.drawDelay("pass", 3000))
		}
		d.advance(70 * time.Second)
	})
}
