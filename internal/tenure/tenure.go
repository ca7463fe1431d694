// Package tenure decides who holds the right to place. The right is a record
// in a partition of the store that only claims and beats go into, each on
// condition that the partition still ends where its writer has read it to. A
// claim's offset gives the token. The package is pure: observations in, the
// next act out.
package tenure

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Record is one entry of the partition.
type Record struct {
	Node        string `json:"n"`
	Incarnation string `json:"i"`
	// Token is 0 in a claim, whose own offset gives it.
	Token int64 `json:"t,omitempty"`
	// Beat tells a process's records apart.
	Beat int64 `json:"b,omitempty"`
	// Members are what the holder gives orders to; a record without any leaves
	// them as they were.
	Members []string `json:"m,omitempty"`
	// Released gives the right back.
	Released bool `json:"r,omitempty"`
	// StoreMillis is how long the store took to answer the holder lately.
	StoreMillis int64 `json:"s,omitempty"`
	// Address is where the holder answers the other nodes.
	Address string `json:"a,omitempty"`
}

// Encode returns the record's bytes.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return b
}

// Decode reads a record.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return r, errors.Wrap(err, "tenure record")
	}
	return r, nil
}

// Timing are the bounds of the right.
type Timing struct {
	// Beat is how often the holder writes.
	Beat time.Duration
	// Silence is how long the others wait for a beat, while they can read.
	Silence time.Duration
	// Suspicion is the same when nothing listens at the holder's address.
	Suspicion time.Duration
	// Confidence is how long after its last confirmed record was sent the
	// holder may extend leases.
	Confidence time.Duration
}

// DefaultTiming returns the bounds in use.
func DefaultTiming() Timing {
	return Timing{Beat: 330 * time.Millisecond, Silence: 950 * time.Millisecond, Suspicion: 600 * time.Millisecond, Confidence: 5 * time.Second}
}

// Act is what is to be done next.
type Act int

// The acts.
const (
	Wait Act = iota
	// Claim asks for the right, on condition that the partition ends at End.
	Claim
	// Beat confirms the right, on the same condition.
	Beat
	// GiveBack releases the right of an earlier process of this node, or one that
	// it has lost, for nodes that are to have it first. The condition is the same.
	GiveBack
)

// State is one node's view of the right. It isn't safe for concurrent use.
type State struct {
	timing      Timing
	node        string
	incarnation string
	// end is the partition's end as far as it was read, or -1.
	end    int64
	holder Record
	// token of the present holder, 0 if there is none.
	token int64
	// members are those of the newest record that has some.
	members []string
	// released tells that the present holder's claim followed a release.
	released bool
	// lost is the highest token that this node has had and lost.
	lost int64
	// given is the highest token that is known to be given up.
	given int64
	// quietSince is since when the partition was read without a gap and without news.
	quietSince time.Duration
	// freeSince is when this node learnt that nobody has the right, or could read
	// the partition again; it counts while there is no holder.
	freeSince time.Duration
	lastRead  time.Duration
	readable  bool
	// confirmedAt is when the newest confirmed record of this node was sent.
	confirmedAt time.Duration
	lastBeat    time.Duration
	beats       int64
	// delay is added to the silence, so that the nodes don't claim at once.
	delay time.Duration
	// deferral is how much longer this node leaves a free right to other nodes.
	deferral time.Duration
	// out tells that an append waits for its answer.
	out    bool
	outAt  time.Duration
	retry  time.Duration
	resign bool
	// suspectedAt is when nothing listened at the holder's address.
	suspectedAt time.Duration
	// took is how long the store took to answer the last act.
	took time.Duration
}

// New returns the state of a node that knows nothing.
func New(timing Timing, node, incarnation string, delay time.Duration) *State {
	return &State{timing: timing, node: node, incarnation: incarnation, end: -1, delay: delay}
}

// Defer sets how much longer this node leaves a free right to others that are to
// have it first. It counts from when the right became free.
func (s *State) Defer(by time.Duration) { s.deferral = by }

// readGap is how long reads may be missing before silence is counted anew.
const readGap = 1500 * time.Millisecond

// ReadFailed takes note that the partition could not be read.
func (s *State) ReadFailed(now time.Duration) {
	s.readable = false
}

// Read takes in the partition's records up to end. Offsets are those of the records.
func (s *State) Read(now time.Duration, offsets []int64, records []Record, end int64) {
	if !s.readable || now-s.lastRead > readGap+s.timing.Beat {
		s.quietSince, s.freeSince = now, now
	}
	s.readable, s.lastRead = true, now
	for i, r := range records {
		if offsets[i] >= s.end {
			s.apply(now, offsets[i], r)
		}
	}
	s.end = max(s.end, end)
}

func (s *State) apply(now time.Duration, offset int64, r Record) {
	s.quietSince = now
	switch {
	case r.Token == 0:
		s.released = s.token == 0 && s.holder.Released
		s.holder, s.token = r, offset+1
	case r.Token >= s.token && r.Token > s.given:
		s.holder, s.token = r, r.Token
	}
	if len(r.Members) > 0 {
		s.members = r.Members
	}
	if r.Released && r.Token == s.token {
		s.free(now)
	}
	if r.Node == s.node && r.Incarnation == s.incarnation && r.Beat > 0 && r.Beat == s.beats {
		s.Confirm(s.outAt)
	}
	s.end = max(s.end, offset+1)
}

// free takes note that the present right is given up. Records under it that are
// read later are older than that.
func (s *State) free(now time.Duration) {
	s.given = s.token
	s.token, s.freeSince = 0, now
}

// Holds reports whether this node holds the right, as far as it knows. A right
// that it has given up or lost it never holds again: it claims a new one.
func (s *State) Holds() bool {
	return s.token > s.lost && s.holder.Node == s.node && s.holder.Incarnation == s.incarnation
}

// Members returns what the holders give orders to, as recorded last.
func (s *State) Members() []string { return s.members }

// Released reports whether the present holder's claim followed a release.
func (s *State) Released() bool { return s.released }

// Token returns the present holder's token, 0 if there is none.
func (s *State) Token() int64 { return s.token }

// Former returns the record of the holder that has released the right, while
// nobody has claimed it since: it goes on until then.
func (s *State) Former() (Record, bool) { return s.holder, s.token == 0 && s.holder.Released }

// Holder returns the present holder's record.
func (s *State) Holder() (Record, bool) { return s.holder, s.token != 0 }

// ConfirmedUntil returns until when the holder may extend leases.
func (s *State) ConfirmedUntil() time.Duration {
	if !s.Holds() {
		return 0
	}
	return s.confirmedAt + s.timing.Confidence
}

// ConfirmedAt returns when the newest confirmed record of this node was sent.
func (s *State) ConfirmedAt() time.Duration { return s.confirmedAt }

// StoreTime returns how long the store took to answer the last act.
func (s *State) StoreTime() time.Duration { return s.took }

// End returns the offset to read from, -1 before the first read.
func (s *State) End() int64 { return s.end }

// Next returns what is to be done at now. The caller reports the end of an act
// with Appended.
func (s *State) Next(now time.Duration) Act {
	if s.out || s.end < 0 || now < s.retry || s.resign {
		return Wait
	}
	if s.Holds() {
		if now-s.lastBeat >= s.timing.Beat {
			return Beat
		}
		return Wait
	}
	if !s.readable || now-s.lastRead > readGap {
		return Wait
	}
	switch {
	case now < s.claimAt():
		return Wait
	case s.heldBefore() && s.deferral > 0:
		return GiveBack
	}
	return Claim
}

// Due returns when Next tells another act if nothing else happens until then,
// and false if nothing does.
func (s *State) Due() (time.Duration, bool) {
	switch {
	case s.out || s.end < 0 || s.resign:
		return 0, false
	case s.Holds():
		return max(s.retry, s.lastBeat+s.timing.Beat), true
	case !s.readable:
		return 0, false
	}
	return max(s.retry, s.claimAt()), true
}

// claimAt returns when this node claims if it reads nothing until then.
func (s *State) claimAt() time.Duration {
	switch {
	case s.token == 0 && s.deferral > 0:
		return s.freeSince + s.delay + s.deferral
	case s.token == 0:
		return s.quietSince + s.delay
	case s.heldBefore():
		return s.quietSince
	case s.suspectedAt > s.quietSince && s.deferral == 0:
		// Nodes that suspect nothing wait for the whole silence, and those that
		// are to have the right first may be among them.
		return s.quietSince + s.timing.Suspicion + s.delay
	}
	// A slow store delays the holder's beats on their way.
	slow := slowFactor * time.Duration(s.holder.StoreMillis) * time.Millisecond
	return s.quietSince + s.timing.Silence + slow + s.delay + s.deferral
}

// heldBefore reports whether the holder is an earlier process of this node, which
// has ended, or this one, which has lost the right.
func (s *State) heldBefore() bool { return s.token != 0 && s.holder.Node == s.node && !s.Holds() }

// slowFactor is how many of the store's answers are added to the silence.
const slowFactor = 3

// Begin takes note that an act was sent, and returns its record and the end
// that the partition must have.
func (s *State) Begin(now time.Duration, act Act, address string) (Record, int64) {
	s.out, s.outAt = true, now
	s.lastBeat = now
	s.beats++
	r := Record{Node: s.node, Incarnation: s.incarnation, Address: address, StoreMillis: s.took.Milliseconds(), Beat: s.beats}
	switch act {
	case Beat:
		r.Token = s.token
	case GiveBack:
		// The former holder doesn't go on until the next one's claim, so that it has no address.
		r.Token, r.Released, r.Address, r.Members = s.token, true, "", s.members
	default:
		r.Members = s.members
	}
	return r, s.end
}

// claimRetry is the pause after an act that did not succeed.
const claimRetry = 250 * time.Millisecond

// Appended takes in the end of an act: done at the given offset, or not known
// to be done. Reading tells what became of the latter.
func (s *State) Appended(now time.Duration, sent Record, offset int64, done bool) {
	s.out = false
	if !done {
		s.retry = now + claimRetry
		return
	}
	if offset >= s.end {
		s.apply(now, offset, sent)
	}
	s.Confirm(s.outAt)
}

// Yielded takes note that the holder of the token has given the right up.
func (s *State) Yielded(now time.Duration, token int64) {
	if s.token == token && token != 0 && !s.Holds() {
		s.free(now)
	}
}

// Suspect takes note that nothing listens at the holder's address any more.
func (s *State) Suspect(now time.Duration) { s.suspectedAt = now }

// StoreTook takes note of how long the store took to answer.
func (s *State) StoreTook(d time.Duration) { s.took = d }

// Confirm takes note that a record sent at the given time is in the partition.
func (s *State) Confirm(sentAt time.Duration) { s.confirmedAt = max(s.confirmedAt, sentAt) }

// Yield returns the record that gives the right back, and takes it as lost. It
// needs no condition: under a newer token it has no effect.
func (s *State) Yield() Record {
	defer s.Lost()
	return s.release()
}

// Release is Yield for good: it stops further claims.
func (s *State) Release() Record {
	s.resign = true
	return s.release()
}

func (s *State) release() Record {
	return Record{Node: s.node, Incarnation: s.incarnation, Token: s.token, Released: true, Address: s.holder.Address}
}

// Lost takes note that this node's right is over, whatever the partition says.
func (s *State) Lost() {
	if s.Holds() {
		s.lost = s.token
	}
}
