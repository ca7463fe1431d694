package routing

import (
	"slices"
	"strings"
	"time"
)

// The bounds on what is remembered of keys.
const (
	maxKeys      = 100_000
	maxFollowers = 16
	// recallRetry is the wait before a peer is asked again for its keys.
	recallRetry = time.Second
)

// key is what this entry remembers of an idempotency key, as its home or as
// the second entry that keeps its intent.
type key struct {
	Intent
	// seconds are the entries that may still be asked to keep the intent;
	// second has it.
	seconds []Peer
	second  *Peer
	// run is the request that runs for the key; nil once it is over.
	run *request
	// followers are later requests with the key that wait for its ending.
	followers []*request
	// kept is set while the shell has the answer.
	kept  bool
	timer timer
}

// keys are the keys known here. They are complete once no earlier process of
// this host can have taken a key that isn't among them.
type keys struct {
	known    map[string]*key
	complete bool
	// heard holds the peers that have told all their keys.
	heard map[string]bool
	peers []Peer
	// told is set once the holder of the term has told how long an earlier
	// process may send.
	told  bool
	timer timer
}

// init begins with the keys unknown: an earlier process of this host may send
// until its grants have run out, and only then is what its peers know final.
func (k *keys) init(c *Core) {
	k.known = map[string]*key{}
	k.heard = map[string]bool{}
	for _, p := range c.set.Peers {
		if p.Domain == c.set.Domain && p.Host != c.set.Host {
			k.peers = append(k.peers, p)
		}
	}
	k.complete = c.set.NewDomain
	k.timer.what = recall{}
	if !k.complete {
		c.arm(&k.timer, c.lengthen(c.set.Timing.Lease)+sendWindow)
	}
}

// hearFormer lets the peers be asked as soon as no earlier process can send.
func (c *Core) hearFormer(former *time.Duration) {
	k := &c.keys
	if former == nil || k.told || k.complete {
		return
	}
	k.told = true
	if at := c.now + c.lengthen(*former); at < k.timer.at {
		c.arm(&k.timer, at)
	}
}

// recall asks the peers for their keys.
type recall struct{}

func (recall) fire(c *Core) {
	k := &c.keys
	if c.now >= c.lengthen(c.set.Timing.KeyRetention) {
		k.complete = true
	}
	if k.complete {
		return
	}
	for _, p := range k.peers {
		if !k.heard[p.Host] {
			c.emit(Recall{Host: p.Host, Address: p.Address})
		}
	}
	c.arm(&k.timer, c.now+recallRetry)
}

func (c *Core) recalled(ev Recalled) {
	k := &c.keys
	if ev.Failed || k.complete {
		return
	}
	for _, i := range ev.Intents {
		c.keep(i)
	}
	if ev.Complete {
		k.heard[ev.Host] = true
	}
	k.complete = len(k.heard) == len(k.peers)
}

func (c *Core) recallHeard(ev RecallHeard) {
	reply := RecallReply{Call: ev.Call, Complete: c.keys.complete}
	for _, k := range c.keys.known {
		reply.Intents = append(reply.Intents, k.Intent)
	}
	slices.SortFunc(reply.Intents, func(a, b Intent) int { return strings.Compare(a.Key, b.Key) })
	c.emit(reply)
}

// keep takes over an intent from another entry. It reports false when the key
// is known from another holder or request.
func (c *Core) keep(i Intent) bool {
	k := c.keys.known[i.Key]
	if k == nil {
		if i.State != KeyWithdrawn {
			c.remember(i)
		}
		return true
	}
	if k.Holder != i.Holder || k.ID != i.ID {
		return i.State == KeyWithdrawn
	}
	if i.State == KeyWithdrawn {
		c.forget(k)
		return true
	}
	k.State = max(k.State, i.State)
	return true
}

func (c *Core) remember(i Intent) *key {
	k := &key{Intent: i}
	k.timer.what = k
	c.keys.known[i.Key] = k
	c.arm(&k.timer, c.now+c.lengthen(c.set.Timing.KeyRetention))
	return k
}

func (c *Core) forget(k *key) {
	c.disarm(&k.timer)
	delete(c.keys.known, k.Key)
	if k.kept {
		c.emit(DropAnswer{ID: k.ID})
	}
}

// fire forgets the key once its retention is over.
func (k *key) fire(c *Core) {
	if k.run != nil {
		c.arm(&k.timer, c.now+c.lengthen(c.set.Timing.Longest))
		return
	}
	c.forget(k)
}

func (c *Core) intentHeard(ev IntentHeard) {
	c.emit(IntentReply{Call: ev.Call, Conflict: !c.keep(ev.Intent)})
}

// admitKeyed takes a request with a key at its home, or passes it on there.
func (c *Core) admitKeyed(q *request) {
	entries := homes(c.set.Peers, q.Key)
	if len(entries) == 0 {
		c.refuse(q, ReasonHomeUnknown, retrySoon)
		return
	}
	if home := entries[0]; home.Host != c.set.Host {
		c.passHome(q, home)
		return
	}
	if k := c.keys.known[q.Key]; k != nil {
		c.follow(q, k)
		return
	}
	switch {
	case c.now < c.set.KeysFrom:
		c.refuse(q, ReasonKeysIncomplete, c.set.KeysFrom-c.now)
	case !c.keys.complete:
		c.refuse(q, ReasonKeysIncomplete, retrySoon)
	case len(c.keys.known) >= maxKeys:
		q.vouched = true
		c.refuse(q, ReasonTooManyKeys, retrySoon)
	case len(entries) < 2:
		q.vouched = true
		c.refuse(q, ReasonNoSecond, retrySoon)
	default:
		c.intend(q, entries[1:])
	}
}

func (c *Core) passHome(q *request, home Peer) {
	if q.Hop {
		c.refuse(q, ReasonNotHome, retrySoon)
		return
	}
	c.begin(q, Send{
		Target:      ToHome,
		Address:     home.Address,
		NotAfter:    c.now + sendWindow,
		CrossRegion: home.Region != c.set.Region,
	})
}

// intend has the intent stored at a second entry before the request is queued.
func (c *Core) intend(q *request, seconds []Peer) {
	q.vouched = true
	k := c.remember(Intent{Key: q.Key, Holder: c.set.Holder(), ID: q.ID})
	k.run, k.seconds, q.key, q.phase = q, seconds, k, recording
	c.arm(&q.timer, q.Deadline)
	c.askSecond(k)
}

func (c *Core) askSecond(k *key) {
	if len(k.seconds) == 0 {
		c.refuse(k.run, ReasonNoSecond, retrySoon)
		return
	}
	k.second = &k.seconds[0]
	k.seconds = k.seconds[1:]
	c.emit(StoreIntent{Host: k.second.Host, Address: k.second.Address, Intent: k.Intent})
}

func (c *Core) intentStored(ev IntentStored) {
	k := c.keys.known[ev.Intent.Key]
	if k == nil || k.ID != ev.Intent.ID || k.run == nil || k.run.phase != recording || k.second.Host != ev.Host {
		return
	}
	switch {
	case ev.Conflict:
		c.finish(k.run, Ending{Outcome: OutcomeUnknown, Reason: ReasonKeyUnknown})
	case ev.Failed:
		c.askSecond(k)
	default:
		c.disarm(&k.run.timer)
		c.enter(k.run)
	}
}

// settleKey records how the key's request ended, here and at the second entry.
func (c *Core) settleKey(q *request, e Ending) {
	k := q.key
	if k == nil {
		return
	}
	k.run = nil
	switch e.Outcome {
	case OutcomeAnswered:
		k.State, k.kept = KeyAnswered, true
	case OutcomeUnknown:
		k.State = KeyUnknown
	case OutcomeNotRun:
		k.State = KeyWithdrawn
		c.forget(k)
	}
	if k.second != nil {
		c.emit(StoreIntent{Host: k.second.Host, Address: k.second.Address, Intent: k.Intent})
	}
	c.answerFollowers(k, e)
}

func (c *Core) answerFollowers(k *key, e Ending) {
	list := k.followers
	k.followers = nil
	for _, f := range list {
		f.key = nil
		if e.Outcome == OutcomeAnswered {
			e.Replay = k.ID
		}
		c.finish(f, e)
	}
}

// follow gives a later request with the key the first one's ending, or has it wait.
func (c *Core) follow(q *request, k *key) {
	switch {
	case k.run != nil && len(k.followers) < maxFollowers:
		q.phase = following
		q.key = nil
		k.followers = append(k.followers, q)
		c.arm(&q.timer, q.Deadline)
	case k.run != nil:
		c.finish(q, Ending{Outcome: OutcomeUnknown, Reason: ReasonKeyPending})
	case k.State == KeyAnswered && k.kept:
		c.finish(q, Ending{Outcome: OutcomeAnswered, Replay: k.ID})
	case k.State == KeyAnswered:
		c.finish(q, Ending{Outcome: OutcomeAnswered, Reason: ReasonAnswerNotKept})
	default:
		c.finish(q, Ending{Outcome: OutcomeUnknown, Reason: ReasonKeyUnknown})
	}
}

// unfollow ends a follower whose deadline has passed or whose caller has left.
func (c *Core) unfollow(q *request) {
	if k := c.keys.known[q.Key]; k != nil {
		k.followers = slices.DeleteFunc(k.followers, func(f *request) bool { return f == q })
	}
	c.finish(q, Ending{Outcome: OutcomeUnknown, Reason: ReasonKeyPending})
}
