package tenure

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// partition is an in-memory partition of claims and heartbeats.
type partition struct {
	records []Record
	// appendedAt is when each record was appended.
	appendedAt []time.Duration
}

func (p *partition) append(now time.Duration, r Record, end int64) (int64, bool) {
	if int64(len(p.records)) != end {
		return 0, false
	}
	p.records, p.appendedAt = append(p.records, r), append(p.appendedAt, now)
	return end, true
}

// readAll passes all records to s that it has not read yet.
func (p *partition) readAll(s *Election, now time.Duration) {
	var offsets []int64
	from := max(s.End(), 0)
	for o := from; o < int64(len(p.records)); o++ {
		offsets = append(offsets, o)
	}
	s.HandleRecords(now, offsets, p.records[min(from, int64(len(p.records))):], int64(len(p.records)))
}

// runAction executes the next action of s and returns it.
func (p *partition) runAction(s *Election, now time.Duration) Action {
	act := s.NextAction(now)
	if act == Wait {
		return act
	}
	r, end := s.BeginAction(now, act, "")
	offset, done := p.append(now, r, end)
	s.CompleteAction(now, r, offset, done)
	return act
}

const stepInterval = 100 * time.Millisecond

// run lets the states read and act at every stepInterval until end.
func (p *partition) run(now *time.Duration, end time.Duration, states ...*Election) {
	for ; *now < end; *now += stepInterval {
		for _, s := range states {
			p.readAll(s, *now)
			p.runAction(s, *now)
		}
	}
}

// TestClaimAtAStaleEndFails checks that only one of two simultaneous claims succeeds:
// the second node's claim is conditional on an end that the first claim has moved.
func TestClaimAtAStaleEndFails(t *testing.T) {
	g := NewWithT(t)
	p := &partition{}
	a, b := New(DefaultTiming(), "a", "1", 0), New(DefaultTiming(), "b", "1", 0)
	p.readAll(a, time.Second)
	p.readAll(b, time.Second)
	g.Expect(b.NextAction(time.Second)).To(Equal(Claim))
	r, end := b.BeginAction(time.Second, Claim, "")
	g.Expect(p.runAction(a, time.Second)).To(Equal(Claim))
	offset, done := p.append(time.Second, r, end)
	g.Expect(done).To(BeFalse())
	b.CompleteAction(time.Second, r, offset, done)
	g.Expect(b.IsLeader()).To(BeFalse())
	g.Expect(b.ConfirmedUntil()).To(BeZero())
	p.readAll(b, 2*time.Second)
	g.Expect(b.NextAction(2 * time.Second)).To(Equal(Wait))
	g.Expect(b.Token()).To(Equal(a.Token()))
}

// TestSilenceIsNotCountedWhileTheStoreIsUnreadable guards against claims by a node
// that missed heartbeats only because it could not read the store: after an outage
// it must wait for the whole Silence again.
func TestSilenceIsNotCountedWhileTheStoreIsUnreadable(t *testing.T) {
	for name, outage := range map[string]func(s *Election, now time.Duration){
		"reads fail": func(s *Election, now time.Duration) { s.HandleReadError(now) },
		"no reads":   func(*Election, time.Duration) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := &partition{}, time.Second
			a, b := New(DefaultTiming(), "a", "1", 0), New(DefaultTiming(), "b", "1", 0)
			p.run(&now, 3*time.Second, a, b)
			lastRead := now - stepInterval
			for end := now + 20*time.Second; now < end; now += stepInterval {
				outage(b, now)
				if now-lastRead > maxReadGap {
					g.Expect(b.NextAction(now)).To(Equal(Wait), "%v after the last read", now-lastRead)
				}
			}
			recoveredAt := now
			for ; now < recoveredAt+DefaultTiming().Silence; now += stepInterval {
				p.readAll(b, now)
				g.Expect(b.NextAction(now)).To(Equal(Wait), "%v after the store recovered", now-recoveredAt)
			}
			now += stepInterval
			p.readAll(b, now)
			g.Expect(b.NextAction(now)).To(Equal(Claim))
		})
	}
}

// TestRestartedLeaderClaimsAtOnce checks that a new process of the leader's node
// claims without waiting for the Silence of its predecessor, which has ended.
func TestRestartedLeaderClaimsAtOnce(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	a := New(DefaultTiming(), "a", "1", 0)
	p.run(&now, 3*time.Second, a)
	again := New(DefaultTiming(), "a", "2", 150*time.Millisecond)
	p.readAll(again, now)
	g.Expect(again.IsLeader()).To(BeFalse())
	g.Expect(p.runAction(again, now)).To(Equal(Claim))
	g.Expect(again.IsLeader()).To(BeTrue())
	g.Expect(again.Token()).To(BeNumerically(">", a.Token()))
	p.readAll(a, now)
	g.Expect(a.IsLeader()).To(BeFalse())
}

// TestPreviousLeaderIsNotConfirmedAfterItsSuccessorsClaim checks that no leader may
// extend leases for longer than Confidence after its successor's claim. It runs
// random histories in which reads fail, answers are lost or late, processes pause or
// restart, and leaders step down. Node c defers its claims to the others.
func TestPreviousLeaderIsNotConfirmedAfterItsSuccessorsClaim(t *testing.T) {
	type pendingAnswer struct {
		s      *Election
		r      Record
		offset int64
		done   bool
		at     time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		p := &partition{}
		states := map[string]*Election{}
		var answers []pendingAnswer
		start := func(name, incarnation string) {
			states[name] = New(DefaultTiming(), name, incarnation, 0)
			if name == "c" {
				states[name].SetDeferral(testDeferral)
			}
		}
		for i, name := range []string{"a", "b", "c"} {
			start(name, fmt.Sprint(i))
		}
		for i, now := 0, time.Second; i < 400; i, now = i+1, now+stepInterval {
			for _, name := range []string{"a", "b", "c"} {
				s := states[name]
				switch rapid.IntRange(0, 19).Draw(t, "what") {
				case 0:
					s.HandleReadError(now)
				case 1, 2, 3, 4:
				case 5:
					if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
						start(name, fmt.Sprint(name, i))
					}
				case 6:
					if token := s.Token(); s.IsLeader() && rapid.IntRange(0, 4).Draw(t, "yield") == 0 {
						s.MarkLost()
						states[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "told")].LeaderSteppedDown(now, token)
					}
				default:
					p.readAll(s, now)
				}
				if act := s.NextAction(now); act != Wait {
					r, end := s.BeginAction(now, act, "")
					offset, done := p.append(now, r, end)
					delay := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 30}).Draw(t, "steps")) * stepInterval
					answers = append(answers, pendingAnswer{s, r, offset, done && rapid.IntRange(0, 4).Draw(t, "lost") > 0, now + delay})
				}
			}
			remaining := answers[:0]
			for _, a := range answers {
				if now >= a.at {
					a.s.CompleteAction(now, a.r, a.offset, a.done)
				} else {
					remaining = append(remaining, a)
				}
			}
			answers = remaining
			checkInvariants(t, p, states, now)
		}
	})
}

func checkInvariants(t *rapid.T, p *partition, states map[string]*Election, now time.Duration) {
	for name, s := range states {
		if !s.IsLeader() {
			continue
		}
		claim := s.Token() - 1
		if claim < 0 || claim >= int64(len(p.records)) || p.records[claim].Token != 0 || p.records[claim].Node != name {
			t.Fatalf("%s is leader with token %d, which is not the token of one of its claims", name, s.Token())
		}
		for o := claim + 1; o < int64(len(p.records)); o++ {
			if p.records[o].Token == 0 && s.ConfirmedUntil() > p.appendedAt[o]+DefaultTiming().Confidence {
				t.Fatalf("at %v %s is confirmed until %v; its successor claimed at %v", now, name, s.ConfirmedUntil(), p.appendedAt[o])
			}
		}
	}
}

// TestNextActionAtMatchesNextAction checks that NextAction returns Wait until the time
// that NextActionAt returns, and another action from then on.
func TestNextActionAtMatchesNextAction(t *testing.T) {
	g := NewWithT(t)
	p := &partition{}
	holder, follower := New(DefaultTiming(), "a", "1", 0), New(DefaultTiming(), "b", "1", 40*time.Millisecond)
	_, ok := follower.NextActionAt()
	g.Expect(ok).To(BeFalse(), "the partition has not been read")
	p.readAll(holder, 0)
	g.Expect(p.runAction(holder, 0)).To(Equal(Claim))
	p.readAll(holder, 10*time.Millisecond)
	p.readAll(follower, 10*time.Millisecond)
	for _, c := range []struct {
		state *Election
		act   Action
	}{{holder, Heartbeat}, {follower, Claim}} {
		at, ok := c.state.NextActionAt()
		g.Expect(ok).To(BeTrue())
		g.Expect(c.state.NextAction(at - 1)).To(Equal(Wait))
		g.Expect(c.state.NextAction(at)).To(Equal(c.act))
	}
	follower.BeginAction(time.Second, Claim, "")
	_, ok = follower.NextActionAt()
	g.Expect(ok).To(BeFalse(), "the answer is still pending")
}

// TestMembersAreInheritedByTheNextLeader guards against the loss of the member list
// when a record has none, when the leader changes, and after a release.
func TestMembersAreInheritedByTheNextLeader(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	a, b := New(DefaultTiming(), "a", "1", 0), New(DefaultTiming(), "b", "1", 0)
	p.run(&now, 2*time.Second, a, b)
	r, end := a.BeginAction(now, Heartbeat, "")
	r.Members = []string{"w1", "w2"}
	offset, done := p.append(now, r, end)
	a.CompleteAction(now, r, offset, done)
	p.run(&now, 3*time.Second, a, b)
	g.Expect(b.Members()).To(Equal([]string{"w1", "w2"}), "records without members keep the previous ones")
	p.run(&now, 6*time.Second, b)
	g.Expect(b.IsLeader()).To(BeTrue())
	g.Expect(b.AfterRelease()).To(BeFalse())
	g.Expect(p.records[b.Token()-1].Members).To(Equal([]string{"w1", "w2"}), "a claim repeats the members")
	p.records, p.appendedAt = append(p.records, b.Resign()), append(p.appendedAt, now)
	c := New(DefaultTiming(), "c", "1", 0)
	p.run(&now, now+time.Second, c)
	g.Expect(c.IsLeader()).To(BeTrue())
	g.Expect(c.AfterRelease()).To(BeTrue())
}

// TestReadingOwnRecordConfirmsIt checks that a claim whose answer was lost counts once
// the node reads it, and is confirmed as of its send time.
func TestReadingOwnRecordConfirmsIt(t *testing.T) {
	g := NewWithT(t)
	p := &partition{}
	a := New(DefaultTiming(), "a", "1", 0)
	p.readAll(a, time.Second)
	r, end := a.BeginAction(time.Second, Claim, "")
	p.append(time.Second, r, end)
	a.CompleteAction(2*time.Second, r, 0, false)
	g.Expect(a.IsLeader()).To(BeFalse())
	p.readAll(a, 3*time.Second)
	g.Expect(a.IsLeader()).To(BeTrue())
	g.Expect(a.ConfirmedUntil()).To(Equal(time.Second + DefaultTiming().Confidence))
}

// testDeferral is how long small nodes defer their claims to larger ones in tests.
const testDeferral = 400 * time.Millisecond

// newSmallNode returns the state of a node that defers its claims to larger nodes.
func newSmallNode(node, incarnation string) *Election {
	s := New(DefaultTiming(), node, incarnation, 0)
	s.SetDeferral(testDeferral)
	return s
}

// TestSmallNodeWaitsForLargerOnesAfterAStepDown checks that the deferral counts from
// the step-down, not from the last record before it.
func TestSmallNodeWaitsForLargerOnesAfterAStepDown(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	small, large := newSmallNode("small", "1"), New(DefaultTiming(), "large", "1", 0)
	p.run(&now, now+2*time.Second, New(DefaultTiming(), "holder", "1", 0), small, large)
	p.run(&now, now+600*time.Millisecond, small, large)
	small.LeaderSteppedDown(now, small.Token())
	large.LeaderSteppedDown(now, large.Token())
	g.Expect(large.NextAction(now)).To(Equal(Claim))
	for end := now + testDeferral; now < end; now += stepInterval {
		p.readAll(small, now)
		g.Expect(small.NextAction(now)).To(Equal(Wait), "leadership was not free before the step-down")
	}
	p.readAll(small, now)
	g.Expect(small.NextAction(now)).To(Equal(Claim), "no larger node has claimed")
}

// TestSmallNodeWaitsForLargerOnesWhenTheStoreRecoversAfterAResignation checks that
// the deferral counts from when the store can be read again, because larger nodes
// could not claim before either.
func TestSmallNodeWaitsForLargerOnesWhenTheStoreRecoversAfterAResignation(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	small, holder := newSmallNode("small", "1"), New(DefaultTiming(), "holder", "1", 0)
	p.run(&now, now+2*time.Second, holder, small)
	p.records, p.appendedAt = append(p.records, holder.Resign()), append(p.appendedAt, now)
	p.readAll(small, now)
	small.HandleReadError(now)
	now += 5 * time.Second
	p.readAll(small, now)
	g.Expect(small.NextAction(now + testDeferral - 1)).To(Equal(Wait))
	g.Expect(small.NextAction(now + testDeferral)).To(Equal(Claim))
}

// TestHeartbeatReadAfterAStepDownDoesNotRestoreLeadership checks that nodes that learn
// of a step-down before they have read the leader's last heartbeats still regard
// leadership as free.
func TestHeartbeatReadAfterAStepDownDoesNotRestoreLeadership(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	holder, late, small := New(DefaultTiming(), "holder", "1", 0), New(DefaultTiming(), "late", "1", 0), newSmallNode("small", "1")
	p.run(&now, now+2*time.Second, holder, late, small)
	p.run(&now, now+500*time.Millisecond, holder)
	late.LeaderSteppedDown(now, late.Token())
	small.LeaderSteppedDown(now, small.Token())
	yielded := now
	now += stepInterval
	p.readAll(late, now)
	p.readAll(small, now)
	_, held := late.Leader()
	g.Expect(held).To(BeFalse(), "the heartbeats are older than the step-down")
	g.Expect(late.NextAction(now)).To(Equal(Claim))
	due, _ := small.NextActionAt()
	g.Expect(due).To(Equal(yielded+testDeferral), "leadership has been free since the step-down")
	g.Expect(p.runAction(late, now)).To(Equal(Claim))
	p.readAll(small, now)
	g.Expect(small.Token()).To(Equal(late.Token()), "a later claim counts")
}

// TestRestartedSmallLeaderDoesNotReclaimBeforeLargerOnes checks that a small node that
// was the leader before its restart releases leadership and lets larger nodes claim
// first. They can't tell on their own that the former process has ended.
func TestRestartedSmallLeaderDoesNotReclaimBeforeLargerOnes(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	former := newSmallNode("small", "1")
	p.run(&now, 3*time.Second, former)
	g.Expect(former.IsLeader()).To(BeTrue())
	again, large := newSmallNode("small", "2"), New(DefaultTiming(), "large", "1", 0)
	p.readAll(again, now)
	p.readAll(large, now)
	g.Expect(large.NextAction(now)).To(Equal(Wait), "it can't tell that the leader has ended")
	g.Expect(p.runAction(again, now)).To(Equal(ReleasePrevious))
	p.readAll(large, now)
	g.Expect(large.NextAction(now)).To(Equal(Claim))
	for end := now + testDeferral; now < end; now += stepInterval {
		p.readAll(again, now)
		g.Expect(again.NextAction(now)).To(Equal(Wait))
	}
	p.readAll(again, now)
	g.Expect(p.runAction(again, now)).To(Equal(Claim), "no larger node has claimed")
	g.Expect(again.IsLeader()).To(BeTrue())
	g.Expect(again.Token()).To(BeNumerically(">", former.Token()))
}

// TestLateReleaseDoesNotAffectTheNewLeader checks that the release of a previous
// leadership fails if another node has claimed in the meantime.
func TestLateReleaseDoesNotAffectTheNewLeader(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	p.run(&now, 3*time.Second, newSmallNode("small", "1"))
	again, large := newSmallNode("small", "2"), New(DefaultTiming(), "large", "1", 0)
	p.readAll(again, now)
	r, end := again.BeginAction(now, ReleasePrevious, "")
	p.run(&now, now+2*time.Second, large)
	g.Expect(large.IsLeader()).To(BeTrue())
	offset, done := p.append(now, r, end)
	g.Expect(done).To(BeFalse())
	again.CompleteAction(now, r, offset, done)
	p.readAll(again, now)
	g.Expect(again.Token()).To(Equal(large.Token()))
	g.Expect(again.NextAction(now)).To(Equal(Wait))
}

// TestSmallNodeThatSuspectsTheLeaderDoesNotClaimBeforeLargerOnes checks that only nodes
// without a deferral use the shorter Suspicion timeout: a larger node may not suspect
// the leader yet.
func TestSmallNodeThatSuspectsTheLeaderDoesNotClaimBeforeLargerOnes(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	const spread = 100 * time.Millisecond
	small, large := newSmallNode("small", "1"), New(DefaultTiming(), "large", "1", spread)
	p.run(&now, now+2*time.Second, New(DefaultTiming(), "holder", "1", 0), small, large)
	small.SuspectLeader(now)
	first, _ := large.NextActionAt()
	second, _ := small.NextActionAt()
	g.Expect(second).To(Equal(first+testDeferral-spread), "the large node does not suspect the leader")
	large.SuspectLeader(now)
	sooner, _ := large.NextActionAt()
	g.Expect(sooner).To(Equal(first - (DefaultTiming().Silence - DefaultTiming().Suspicion)))
}

// TestRefusedCallDoesNotDeposeLeaderBehindSlowStore checks that a living leader whose
// heartbeats are late because the store is slow isn't replaced on suspicion alone.
func TestRefusedCallDoesNotDeposeLeaderBehindSlowStore(t *testing.T) {
	g := NewWithT(t)
	const latency = 700 * time.Millisecond
	p, now := &partition{}, time.Second
	leader, other := New(DefaultTiming(), "leader", "1", 0), New(DefaultTiming(), "other", "1", 0)
	leader.SetStoreLatency(latency)
	for ; now < 20*time.Second; now += stepInterval {
		p.readAll(leader, now)
		if (now-time.Second)%latency == 0 { // an append takes that long
			p.runAction(leader, now)
		}
		p.readAll(other, now)
		other.SuspectLeader(now)
		g.Expect(other.NextAction(now)).To(Equal(Wait), "at %v", now)
	}
	g.Expect(leader.IsLeader()).To(BeTrue())
}

// TestLostLeadersAreCounted checks that a leader knows how many were lost in a row before
// it, however new its process is, and that a planned stop or a long term loses nothing.
func TestLostLeadersAreCounted(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	for i := range 5 {
		s := New(DefaultTiming(), string(rune('a'+i)), "1", 0)
		p.run(&now, now+3*time.Second, s)
		g.Expect(s.IsLeader()).To(BeTrue())
		g.Expect(s.LostLeaders(now)).To(Equal(i))
	}
	planned := New(DefaultTiming(), "f", "1", 0)
	p.run(&now, now+3*time.Second, planned)
	g.Expect(planned.LostLeaders(now)).To(Equal(5))
	p.records, p.appendedAt = append(p.records, planned.Resign()), append(p.appendedAt, now)
	next := New(DefaultTiming(), "g", "1", 0)
	p.run(&now, now+time.Second, next)
	g.Expect(next.IsLeader()).To(BeTrue())
	g.Expect(next.LostLeaders(now)).To(Equal(5), "it stopped as planned")
	p.run(&now, now+lostLeaderMemory, next)
	g.Expect(next.LostLeaders(now)).To(BeZero())
	last := New(DefaultTiming(), "h", "1", 0)
	p.run(&now, now+3*time.Second, last)
	g.Expect(last.IsLeader()).To(BeTrue())
	g.Expect(last.LostLeaders(now)).To(Equal(1))
}
