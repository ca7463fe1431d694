// Package tenure implements leader election. The leader is the node that may place
// work. Nodes append claims and heartbeats to a partition of the store that holds
// nothing else; each append is conditional on the partition still ending at the
// offset up to which its writer has read it. The offset of a claim determines the
// fencing token: the offset plus one. The package does no I/O: it takes
// observations and returns the next action.
package tenure

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Record is an entry of the partition.
type Record struct {
	Node        string `json:"n"`
	Incarnation string `json:"i"`
	// Token is the leader's token. It is 0 in a claim, whose offset determines it.
	Token int64 `json:"t,omitempty"`
	// Sequence distinguishes the records of a process.
	Sequence int64 `json:"b,omitempty"`
	// Members are the workers that the leader gives orders to. A record without
	// members leaves the previous ones in force.
	Members []string `json:"m,omitempty"`
	// Resigned releases leadership.
	Resigned bool `json:"r,omitempty"`
	// Overloaded is set in a release by a leader that is short of processor time.
	Overloaded bool `json:"o,omitempty"`
	// StoreMillis is the leader's recent response time of the store, in milliseconds.
	StoreMillis int64 `json:"s,omitempty"`
	// Address is the address at which the leader serves the other nodes.
	Address string `json:"a,omitempty"`
	// LostLeaders is how many leaders before this one ended in a row without a release,
	// each less than lostLeaderMemory after its claim. A release doesn't end the row.
	LostLeaders int `json:"l,omitempty"`
}

// Encode returns the JSON encoding of the record.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // can't happen: the fields are strings, numbers and booleans
	}
	return b
}

// Decode parses an encoded record.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return r, errors.Wrap(err, "tenure record")
	}
	return r, nil
}

// Timing holds the intervals and timeouts of the election.
type Timing struct {
	// Beat is the leader's heartbeat interval.
	Beat time.Duration
	// Silence is how long the other nodes wait for a heartbeat before they claim.
	// Only time in which they can read the partition counts.
	Silence time.Duration
	// Suspicion replaces Silence when the leader's address refuses connections, which
	// something between the nodes may do while the leader lives.
	Suspicion time.Duration
	// Confidence is how long the leader may extend leases after it sent its last
	// confirmed record.
	Confidence time.Duration
}

// DefaultTiming returns the default timing.
func DefaultTiming() Timing {
	return Timing{Beat: 330 * time.Millisecond, Silence: 950 * time.Millisecond, Suspicion: 600 * time.Millisecond, Confidence: 5 * time.Second}
}

// Action is what a node has to do next.
type Action int

// Actions.
const (
	Wait Action = iota
	// Claim appends a claim to leadership, on condition that the partition ends at
	// End.
	Claim
	// Heartbeat confirms leadership, on the same condition.
	Heartbeat
	// ReleasePrevious releases the leadership of an earlier process of this node, or
	// one that this process has lost, in favor of nodes that take precedence. The
	// condition is the same.
	ReleasePrevious
)

// Election is the election state of one node. It isn't safe for concurrent use.
type Election struct {
	timing      Timing
	node        string
	incarnation string
	// end is the offset up to which the partition was read, or -1.
	end    int64
	leader Record
	// token of the current leader, 0 if there is none.
	token int64
	// members are those of the newest record with members.
	members []string
	// claimedAt is when the current leader's claim was read, or the last one before.
	claimedAt time.Duration
	// afterRelease is set if the current leader's claim followed a release.
	afterRelease bool
	// lostToken is the highest token that this node has held and lost.
	lostToken int64
	// releasedToken is the highest token that is known to be released.
	releasedToken int64
	// quietSince is the time since when the partition has been read without a gap
	// and without a new record.
	quietSince time.Duration
	// freeSince is when this node learned that there is no leader, or when it could
	// read the partition again. It is valid only while there is no leader.
	freeSince time.Duration
	lastRead  time.Duration
	readable  bool
	// confirmedAt is the send time of this node's newest confirmed record.
	confirmedAt time.Duration
	lastAction  time.Duration
	sequence    int64
	// claimDelay is added to the timeout, so that the nodes don't claim simultaneously.
	claimDelay time.Duration
	// deferral is the additional time for which this node leaves the claim to nodes
	// that take precedence.
	deferral time.Duration
	// inFlight is set while an append waits for its answer.
	inFlight bool
	sentAt   time.Duration
	retryAt  time.Duration
	resigned bool
	// overloadedAt is when the last release by an overloaded leader was read, or 0.
	overloadedAt time.Duration
	// suspectedAt is when the leader's address last refused a connection.
	suspectedAt time.Duration
	// storeLatency is the response time of the store for the last action.
	storeLatency time.Duration
}

// New returns the state of a node that has not read the partition yet. Different
// delays keep the nodes from claiming simultaneously.
func New(timing Timing, node, incarnation string, claimDelay time.Duration) *Election {
	return &Election{timing: timing, node: node, incarnation: incarnation, end: -1, claimDelay: claimDelay}
}

// SetDeferral sets the additional time for which this node leaves the claim to
// nodes that take precedence. It counts from when leadership became free.
func (e *Election) SetDeferral(delay time.Duration) { e.deferral = delay }

// maxReadGap is the longest pause between reads after which silence still counts on.
// After a longer pause it is measured anew.
const maxReadGap = 1500 * time.Millisecond

// HandleReadError records that the partition could not be read.
func (e *Election) HandleReadError(now time.Duration) {
	e.readable = false
}

// HandleRecords applies the partition's records up to end; offsets[i] is the offset
// of records[i].
func (e *Election) HandleRecords(now time.Duration, offsets []int64, records []Record, end int64) {
	if !e.readable || now-e.lastRead > maxReadGap+e.timing.Beat {
		e.quietSince, e.freeSince = now, now
	}
	e.readable, e.lastRead = true, now
	for i, r := range records {
		if offsets[i] >= e.end {
			e.apply(now, offsets[i], r)
		}
	}
	e.end = max(e.end, end)
}

func (e *Election) apply(now time.Duration, offset int64, r Record) {
	e.quietSince = now
	switch {
	case r.Token == 0:
		e.afterRelease = e.token == 0 && e.leader.Resigned
		e.leader, e.token, e.claimedAt = r, offset+1, now
	case r.Token >= e.token && r.Token > e.releasedToken:
		e.leader, e.token = r, r.Token
	}
	if len(r.Members) > 0 {
		e.members = r.Members
	}
	if r.Resigned && r.Overloaded {
		e.overloadedAt = now
	}
	if r.Resigned && r.Token == e.token {
		e.markFree(now)
	}
	if r.Node == e.node && r.Incarnation == e.incarnation && r.Sequence > 0 && r.Sequence == e.sequence {
		e.ConfirmRecord(e.sentAt)
	}
	e.end = max(e.end, offset+1)
}

// markFree records that the current leadership is released. Records with its token
// that are read later are older than the release.
func (e *Election) markFree(now time.Duration) {
	e.releasedToken = e.token
	e.token, e.freeSince = 0, now
}

// IsLeader reports whether this node is the leader as far as it knows. A token that
// it has released or lost never becomes valid again; it has to claim a new one.
func (e *Election) IsLeader() bool {
	return e.token > e.lostToken && e.leader.Node == e.node && e.leader.Incarnation == e.incarnation
}

// Members returns the members that the leader gives orders to, as last recorded.
func (e *Election) Members() []string { return e.members }

// lostLeaderMemory is how long a leader counts those that were lost before it.
const lostLeaderMemory = 10 * time.Minute

// LostLeaders returns how many leaders were lost in a row before the current one, as of
// now: see Record.LostLeaders.
func (e *Election) LostLeaders(now time.Duration) int {
	if now-e.claimedAt > lostLeaderMemory {
		return 0
	}
	return e.leader.LostLeaders
}

// AfterRelease reports whether the current leader's claim followed a release.
func (e *Election) AfterRelease() bool { return e.afterRelease }

// Token returns the current leader's token, 0 if there is none.
func (e *Election) Token() int64 { return e.token }

// PreviousLeader returns the record of the leader that has released leadership, if
// no node has claimed it since. The previous leader continues to work until then.
func (e *Election) PreviousLeader() (Record, bool) {
	return e.leader, e.token == 0 && e.leader.Resigned
}

// Leader returns the current leader's record, and whether there is a leader.
func (e *Election) Leader() (Record, bool) { return e.leader, e.token != 0 }

// ConfirmedUntil returns until when this node may extend leases, 0 if it is not the
// leader.
func (e *Election) ConfirmedUntil() time.Duration {
	if !e.IsLeader() {
		return 0
	}
	return e.confirmedAt + e.timing.Confidence
}

// ConfirmedAt returns the send time of this node's newest confirmed record.
func (e *Election) ConfirmedAt() time.Duration { return e.confirmedAt }

// StoreLatency returns the response time of the store for the last action.
func (e *Election) StoreLatency() time.Duration { return e.storeLatency }

// End returns the offset from which to read on, -1 before the first read.
func (e *Election) End() int64 { return e.end }

// NextAction returns what to do at now. The caller starts an action with
// BeginAction and reports its result with CompleteAction.
func (e *Election) NextAction(now time.Duration) Action {
	if e.inFlight || e.end < 0 || now < e.retryAt || e.resigned {
		return Wait
	}
	if e.IsLeader() {
		if now-e.lastAction >= e.timing.Beat {
			return Heartbeat
		}
		return Wait
	}
	if !e.readable || now-e.lastRead > maxReadGap {
		return Wait
	}
	switch {
	case now < e.claimAt():
		return Wait
	case e.leaderIsPreviousSelf() && e.deferral > 0:
		return ReleasePrevious
	}
	return Claim
}

// NextActionAt returns when NextAction next returns an action other than Wait if
// nothing else happens, or false if it won't.
func (e *Election) NextActionAt() (time.Duration, bool) {
	switch {
	case e.inFlight || e.end < 0 || e.resigned:
		return 0, false
	case e.IsLeader():
		return max(e.retryAt, e.lastAction+e.timing.Beat), true
	case !e.readable:
		return 0, false
	}
	return max(e.retryAt, e.claimAt()), true
}

// claimAt returns when this node may claim if it reads no new record until then.
func (e *Election) claimAt() time.Duration {
	// A slow store delays the leader's heartbeats.
	storeDelay := storeLatencyFactor * time.Duration(e.leader.StoreMillis) * time.Millisecond
	switch {
	case e.token == 0 && e.deferral > 0:
		return e.freeSince + e.claimDelay + e.deferral
	case e.token == 0:
		return e.quietSince + e.claimDelay
	case e.leaderIsPreviousSelf():
		return e.quietSince
	case e.suspectedAt > e.quietSince && e.deferral == 0:
		// A node that defers may not use the shorter timeout: nodes that take
		// precedence may not suspect the leader and wait for the whole Silence.
		return e.quietSince + e.timing.Suspicion + storeDelay + e.claimDelay
	}
	return e.quietSince + e.timing.Silence + storeDelay + e.claimDelay + e.deferral
}

// leaderIsPreviousSelf reports whether the recorded leader is an earlier process of
// this node, which has ended, or this process, which has lost leadership.
func (e *Election) leaderIsPreviousSelf() bool {
	return e.token != 0 && e.leader.Node == e.node && !e.IsLeader()
}

// storeLatencyFactor is the number of store response times that are added to Silence.
const storeLatencyFactor = 3

// BeginAction records that an action is sent at now. It returns the record to append
// and the end that the partition must have.
func (e *Election) BeginAction(now time.Duration, action Action, address string) (Record, int64) {
	e.inFlight, e.sentAt = true, now
	e.lastAction = now
	e.sequence++
	r := Record{Node: e.node, Incarnation: e.incarnation, Address: address, StoreMillis: e.storeLatency.Milliseconds(), Sequence: e.sequence}
	switch action {
	case Heartbeat:
		r.Token, r.LostLeaders = e.token, e.LostLeaders(now)
	case ReleasePrevious:
		// The previous leader has stopped and doesn't work until the next claim, so that
		// the record has no address.
		r.Token, r.Resigned, r.Address, r.Members = e.token, true, "", e.members
		r.LostLeaders = e.leader.LostLeaders + 1
	default:
		r.Members = e.members
		r.LostLeaders = e.leader.LostLeaders
		if e.token != 0 {
			r.LostLeaders++ // it has not released leadership
		}
	}
	return r, e.end
}

// actionRetryDelay is the delay after a failed action.
const actionRetryDelay = 250 * time.Millisecond

// CompleteAction records the result of an action. If done is false the outcome is
// unknown until the partition has been read.
func (e *Election) CompleteAction(now time.Duration, sent Record, offset int64, done bool) {
	e.inFlight = false
	if !done {
		e.retryAt = now + actionRetryDelay
		return
	}
	if offset >= e.end {
		e.apply(now, offset, sent)
	}
	e.ConfirmRecord(e.sentAt)
}

// LeaderSteppedDown records that the leader with the token has stepped down.
func (e *Election) LeaderSteppedDown(now time.Duration, token int64) {
	if e.token == token && token != 0 && !e.IsLeader() {
		e.markFree(now)
	}
}

// SuspectLeader records that the leader's address has refused a connection.
func (e *Election) SuspectLeader(now time.Duration) { e.suspectedAt = now }

// SetStoreLatency records the response time of the store.
func (e *Election) SetStoreLatency(d time.Duration) { e.storeLatency = d }

// ConfirmRecord records that a record sent at the given time is in the partition.
func (e *Election) ConfirmRecord(sentAt time.Duration) { e.confirmedAt = max(e.confirmedAt, sentAt) }

// StepDown marks leadership as lost and returns the record that releases it. The
// append needs no condition: the record has no effect if there is a newer token.
func (e *Election) StepDown() Record {
	defer e.MarkLost()
	return e.releaseRecord()
}

// StepDownOverloaded is like StepDown for a leader that is short of processor time.
func (e *Election) StepDownOverloaded() Record {
	r := e.StepDown()
	r.Overloaded = true
	return r
}

// OverloadedReleaseAt returns when this node last read that an overloaded leader has released
// leadership, and false if it never has.
func (e *Election) OverloadedReleaseAt() (time.Duration, bool) {
	return e.overloadedAt, e.overloadedAt > 0
}

// Resign returns the record that releases leadership, and prevents further claims by
// this process.
func (e *Election) Resign() Record {
	e.resigned = true
	return e.releaseRecord()
}

func (e *Election) releaseRecord() Record {
	return Record{Node: e.node, Incarnation: e.incarnation, Token: e.token, Resigned: true, Address: e.leader.Address, LostLeaders: e.leader.LostLeaders}
}

// MarkLost records that this node is no longer the leader, whatever the partition
// says.
func (e *Election) MarkLost() {
	if e.IsLeader() {
		e.lostToken = e.token
	}
}
