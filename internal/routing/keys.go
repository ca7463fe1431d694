package routing

import (
	"slices"
	"strings"
	"time"
)

// Limits of the idempotency key table.
const (
	maxKeys          = 100_000
	maxWaitersPerKey = 16
	// listIntentsInterval is the wait before a peer is asked again for its
	// intents.
	listIntentsInterval = time.Second
)

// keyRecord is the state of an idempotency key at this entry, which is either
// the key's home or the replica of its intent.
type keyRecord struct {
	Intent
	// replicaCandidates are the entries that have not yet been asked to store
	// the intent. replica is the one last asked.
	replicaCandidates []Peer
	replica           *Peer
	// active is the request that runs for the key; nil once it has ended.
	active *request
	// waiters are later requests with the same key that wait for its result.
	waiters []*request
	// responseKept is set while the process keeps the response.
	responseKept bool
	timer        timer
}

// keyTable holds the keys known to this entry. It is complete once no earlier
// process of this host can have taken a key that is missing from it.
type keyTable struct {
	records  map[string]*keyRecord
	complete bool
	// completePeers are the peers that have reported all their intents.
	completePeers map[string]bool
	peers         []Peer
	// previousLeaseKnown is set once the leader has told how long an earlier
	// process may send.
	previousLeaseKnown bool
	timer              timer
}

// init starts with an incomplete table unless the domain is new. An earlier
// process of this host may send until its grants have expired; only then are
// the peers' lists final.
func (t *keyTable) init(c *Core) {
	t.records = map[string]*keyRecord{}
	t.completePeers = map[string]bool{}
	for _, p := range c.settings.Peers {
		if p.Domain == c.settings.Domain && p.Host != c.settings.Host {
			t.peers = append(t.peers, p)
		}
	}
	t.complete = c.settings.NewDomain
	t.timer.handler = listIntentsTimer{}
	if !t.complete {
		c.arm(&t.timer, c.plusDrift(c.settings.Timing.Lease)+sendWindow)
	}
}

// setPreviousLease moves the first query to the peers forward to the time at
// which no earlier process can send.
func (c *Core) setPreviousLease(remaining *time.Duration) {
	t := &c.keys
	if remaining == nil || t.previousLeaseKnown || t.complete {
		return
	}
	t.previousLeaseKnown = true
	if at := c.now + c.plusDrift(*remaining); at < t.timer.at {
		c.arm(&t.timer, at)
	}
}

// listIntentsTimer asks the peers for their intents.
type listIntentsTimer struct{}

func (listIntentsTimer) fire(c *Core) {
	t := &c.keys
	if c.now >= c.plusDrift(c.settings.Timing.KeyRetention) {
		t.complete = true
	}
	if t.complete {
		return
	}
	for _, p := range t.peers {
		if !t.completePeers[p.Host] {
			c.emit(ListIntents{Host: p.Host, Address: p.Address})
		}
	}
	c.arm(&t.timer, c.now+listIntentsInterval)
}

func (c *Core) handleIntentsListed(ev IntentsListed) {
	t := &c.keys
	if ev.Failed || t.complete {
		return
	}
	for _, i := range ev.Intents {
		c.mergeIntent(i)
	}
	if ev.Complete {
		t.completePeers[ev.Host] = true
	}
	t.complete = len(t.completePeers) == len(t.peers)
}

func (c *Core) handleListIntents(ev ListIntentsRequested) {
	reply := ListIntentsReply{Call: ev.Call, Complete: c.keys.complete}
	for _, k := range c.keys.records {
		reply.Intents = append(reply.Intents, k.Intent)
	}
	slices.SortFunc(reply.Intents, func(a, b Intent) int { return strings.Compare(a.Key, b.Key) })
	c.emit(reply)
}

// mergeIntent stores an intent from another entry, or removes it if it is
// withdrawn. It returns false if the key is known from another process or
// request, unless the intent is withdrawn.
func (c *Core) mergeIntent(i Intent) bool {
	k := c.keys.records[i.Key]
	if k == nil {
		if i.State != KeyWithdrawn {
			c.addKey(i)
		}
		return true
	}
	if k.InstanceID != i.InstanceID || k.ID != i.ID {
		return i.State == KeyWithdrawn
	}
	if i.State == KeyWithdrawn {
		c.removeKey(k)
		return true
	}
	k.State = max(k.State, i.State)
	return true
}

func (c *Core) addKey(i Intent) *keyRecord {
	k := &keyRecord{Intent: i}
	k.timer.handler = k
	c.keys.records[i.Key] = k
	c.arm(&k.timer, c.now+c.plusDrift(c.settings.Timing.KeyRetention))
	return k
}

func (c *Core) removeKey(k *keyRecord) {
	c.disarm(&k.timer)
	delete(c.keys.records, k.Key)
	if k.responseKept {
		c.emit(DropResponse{ID: k.ID})
	}
}

// fire removes the key at the end of its retention, unless its request is still
// running.
func (k *keyRecord) fire(c *Core) {
	if k.active != nil {
		c.arm(&k.timer, c.now+c.plusDrift(c.settings.Timing.MaxRequestTime))
		return
	}
	c.removeKey(k)
}

func (c *Core) handleStoreIntent(ev StoreIntentRequested) {
	c.emit(StoreIntentReply{Call: ev.Call, Conflict: !c.mergeIntent(ev.Intent)})
}

// admitKeyed handles a request with a key at the key's home, or forwards it
// there.
func (c *Core) admitKeyed(q *request) {
	entries := homeEntries(c.settings.Peers, q.Key)
	if len(entries) == 0 {
		c.refuse(q, ReasonHomeUnknown, retrySoon)
		return
	}
	if home := entries[0]; home.Host != c.settings.Host {
		c.forwardHome(q, home)
		return
	}
	if k := c.keys.records[q.Key]; k != nil {
		c.joinKey(q, k)
		return
	}
	switch {
	case c.now < c.settings.AcceptKeysFrom:
		c.refuse(q, ReasonKeysIncomplete, c.settings.AcceptKeysFrom-c.now)
	case !c.keys.complete:
		c.refuse(q, ReasonKeysIncomplete, retrySoon)
	case len(c.keys.records) >= maxKeys:
		q.keyConfirmedNew = true
		c.refuse(q, ReasonTooManyKeys, retrySoon)
	case len(entries) < 2:
		q.keyConfirmedNew = true
		c.refuse(q, ReasonNoSecondEntry, retrySoon)
	default:
		c.storeIntent(q, entries[1:])
	}
}

func (c *Core) forwardHome(q *request, home Peer) {
	if q.FromEntry {
		c.refuse(q, ReasonNotHome, retrySoon)
		return
	}
	c.startSend(q, Send{
		Target:      TargetHome,
		Address:     home.Address,
		NotAfter:    c.now + sendWindow,
		CrossRegion: home.Region != c.settings.Region,
	})
}

// storeIntent stores the intent at a replica before the request is queued.
func (c *Core) storeIntent(q *request, candidates []Peer) {
	q.keyConfirmedNew = true
	k := c.addKey(Intent{Key: q.Key, InstanceID: c.settings.InstanceID(), ID: q.ID})
	k.active, k.replicaCandidates, q.key, q.phase = q, candidates, k, phaseStoringIntent
	c.arm(&q.timer, q.Deadline)
	c.storeAtNextReplica(k)
}

func (c *Core) storeAtNextReplica(k *keyRecord) {
	if len(k.replicaCandidates) == 0 {
		c.refuse(k.active, ReasonNoSecondEntry, retrySoon)
		return
	}
	k.replica = &k.replicaCandidates[0]
	k.replicaCandidates = k.replicaCandidates[1:]
	c.emit(StoreIntent{Host: k.replica.Host, Address: k.replica.Address, Intent: k.Intent})
}

func (c *Core) handleStoreIntentDone(ev StoreIntentDone) {
	k := c.keys.records[ev.Intent.Key]
	if k == nil || k.ID != ev.Intent.ID || k.active == nil || k.active.phase != phaseStoringIntent || k.replica.Host != ev.Host {
		return
	}
	switch {
	case ev.Conflict:
		c.finish(k.active, Result{Outcome: OutcomeUnknown, Reason: ReasonKeyUnknown})
	case ev.Failed:
		c.storeAtNextReplica(k)
	default:
		c.disarm(&k.active.timer)
		c.route(k.active)
	}
}

// finishKey records the result of the key's request here and at the replica.
func (c *Core) finishKey(q *request, res Result) {
	k := q.key
	if k == nil {
		return
	}
	k.active = nil
	switch res.Outcome {
	case OutcomeAnswered:
		k.State, k.responseKept = KeyAnswered, true
	case OutcomeUnknown:
		k.State = KeyUnknown
	case OutcomeNotRun:
		k.State = KeyWithdrawn
		c.removeKey(k)
	}
	if k.replica != nil {
		c.emit(StoreIntent{Host: k.replica.Host, Address: k.replica.Address, Intent: k.Intent})
	}
	c.finishWaiters(k, res)
}

func (c *Core) finishWaiters(k *keyRecord, res Result) {
	list := k.waiters
	k.waiters = nil
	for _, waiter := range list {
		waiter.key = nil
		if res.Outcome == OutcomeAnswered {
			res.ReplayOf = k.ID
		}
		c.finish(waiter, res)
	}
}

// joinKey ends a later request with the key's result, or adds it to the waiters
// while the first request is running.
func (c *Core) joinKey(q *request, k *keyRecord) {
	switch {
	case k.active != nil && len(k.waiters) < maxWaitersPerKey:
		q.phase = phaseAwaitingKey
		q.key = nil
		k.waiters = append(k.waiters, q)
		c.arm(&q.timer, q.Deadline)
	case k.active != nil:
		c.finish(q, Result{Outcome: OutcomeUnknown, Reason: ReasonKeyPending})
	case k.State == KeyAnswered && k.responseKept:
		c.finish(q, Result{Outcome: OutcomeAnswered, ReplayOf: k.ID})
	case k.State == KeyAnswered:
		c.finish(q, Result{Outcome: OutcomeAnswered, Reason: ReasonAnswerNotKept})
	default:
		c.finish(q, Result{Outcome: OutcomeUnknown, Reason: ReasonKeyUnknown})
	}
}

// removeWaiter ends a waiter whose deadline has passed or whose caller has
// disconnected.
func (c *Core) removeWaiter(q *request) {
	if k := c.keys.records[q.Key]; k != nil {
		k.waiters = slices.DeleteFunc(k.waiters, func(waiter *request) bool { return waiter == q })
	}
	c.finish(q, Result{Outcome: OutcomeUnknown, Reason: ReasonKeyPending})
}
