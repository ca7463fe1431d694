package tenure

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// partition is the stream of claims and beats.
type partition struct {
	records []Record
	// claimed is when each record was appended.
	claimed []time.Duration
}

func (p *partition) append(now time.Duration, r Record, end int64) (int64, bool) {
	if int64(len(p.records)) != end {
		return 0, false
	}
	p.records, p.claimed = append(p.records, r), append(p.claimed, now)
	return end, true
}

// read brings a state all that it hasn't read.
func (p *partition) read(s *State, now time.Duration) {
	var offsets []int64
	from := max(s.End(), 0)
	for o := from; o < int64(len(p.records)); o++ {
		offsets = append(offsets, o)
	}
	s.Read(now, offsets, p.records[min(from, int64(len(p.records))):], int64(len(p.records)))
}

// act does what the state wants, and reports what that was.
func (p *partition) act(s *State, now time.Duration) Act {
	act := s.Next(now)
	if act == Wait {
		return act
	}
	r, end := s.Begin(now, act, "")
	offset, done := p.append(now, r, end)
	s.Appended(now, r, offset, done)
	return act
}

const step = 100 * time.Millisecond

// live lets the states read and act until end.
func (p *partition) live(now *time.Duration, end time.Duration, states ...*State) {
	for ; *now < end; *now += step {
		for _, s := range states {
			p.read(s, *now)
			p.act(s, *now)
		}
	}
}

func TestStaleClaimantsClaimFails(t *testing.T) {
	g := NewWithT(t)
	p := &partition{}
	a, b := New(DefaultTiming(), "a", "1", 0), New(DefaultTiming(), "b", "1", 0)
	p.read(a, time.Second)
	p.read(b, time.Second)
	g.Expect(b.Next(time.Second)).To(Equal(Claim))
	r, end := b.Begin(time.Second, Claim, "")
	g.Expect(p.act(a, time.Second)).To(Equal(Claim))
	offset, done := p.append(time.Second, r, end)
	g.Expect(done).To(BeFalse())
	b.Appended(time.Second, r, offset, done)
	g.Expect(b.Holds()).To(BeFalse())
	g.Expect(b.ConfirmedUntil()).To(BeZero())
	p.read(b, 2*time.Second)
	g.Expect(b.Next(2 * time.Second)).To(Equal(Wait))
	g.Expect(b.Token()).To(Equal(a.Token()))
}

func TestSilenceIsNotCountedWhileTheStoreCanNotBeRead(t *testing.T) {
	for what, away := range map[string]func(s *State, now time.Duration){
		"reads fail": func(s *State, now time.Duration) { s.ReadFailed(now) },
		"no reads":   func(*State, time.Duration) {},
	} {
		t.Run(what, func(t *testing.T) {
			g := NewWithT(t)
			p, now := &partition{}, time.Second
			a, b := New(DefaultTiming(), "a", "1", 0), New(DefaultTiming(), "b", "1", 0)
			p.live(&now, 3*time.Second, a, b)
			lastRead := now - step
			for end := now + 20*time.Second; now < end; now += step {
				away(b, now)
				if now-lastRead > readGap {
					g.Expect(b.Next(now)).To(Equal(Wait), "%v after the last read", now-lastRead)
				}
			}
			back := now
			for ; now < back+DefaultTiming().Silence; now += step {
				p.read(b, now)
				g.Expect(b.Next(now)).To(Equal(Wait), "%v after the store is back", now-back)
			}
			now += step
			p.read(b, now)
			g.Expect(b.Next(now)).To(Equal(Claim))
		})
	}
}

func TestEarlierProcessOfTheSameNodeIsFollowedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	a := New(DefaultTiming(), "a", "1", 0)
	p.live(&now, 3*time.Second, a)
	again := New(DefaultTiming(), "a", "2", 150*time.Millisecond)
	p.read(again, now)
	g.Expect(again.Holds()).To(BeFalse())
	g.Expect(p.act(again, now)).To(Equal(Claim))
	g.Expect(again.Holds()).To(BeTrue())
	g.Expect(again.Token()).To(BeNumerically(">", a.Token()))
	p.read(a, now)
	g.Expect(a.Holds()).To(BeFalse())
}

// TestFormerHolderIsNotConfirmedPastItsSuccessorsClaim plays histories in which
// reads fail, answers get lost or come late, processes stand still, and holders
// yield. Node c leaves a free right to the others for a time.
func TestFormerHolderIsNotConfirmedPastItsSuccessorsClaim(t *testing.T) {
	type late struct {
		s      *State
		r      Record
		offset int64
		done   bool
		at     time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		p := &partition{}
		states := map[string]*State{}
		var answers []late
		start := func(name, life string) {
			states[name] = New(DefaultTiming(), name, life, 0)
			if name == "c" {
				states[name].Defer(later)
			}
		}
		for i, name := range []string{"a", "b", "c"} {
			start(name, fmt.Sprint(i))
		}
		for i, now := 0, time.Second; i < 400; i, now = i+1, now+step {
			for _, name := range []string{"a", "b", "c"} {
				s := states[name]
				switch rapid.IntRange(0, 19).Draw(t, "what") {
				case 0:
					s.ReadFailed(now)
				case 1, 2, 3, 4:
				case 5:
					if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
						start(name, fmt.Sprint(name, i))
					}
				case 6:
					if token := s.Token(); s.Holds() && rapid.IntRange(0, 4).Draw(t, "yield") == 0 {
						s.Lost()
						states[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "told")].Yielded(now, token)
					}
				default:
					p.read(s, now)
				}
				if act := s.Next(now); act != Wait {
					r, end := s.Begin(now, act, "")
					offset, done := p.append(now, r, end)
					after := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 30}).Draw(t, "steps")) * step
					answers = append(answers, late{s, r, offset, done && rapid.IntRange(0, 4).Draw(t, "lost") > 0, now + after})
				}
			}
			kept := answers[:0]
			for _, a := range answers {
				if now >= a.at {
					a.s.Appended(now, a.r, a.offset, a.done)
				} else {
					kept = append(kept, a)
				}
			}
			answers = kept
			check(t, p, states, now)
		}
	})
}

func check(t *rapid.T, p *partition, states map[string]*State, now time.Duration) {
	for name, s := range states {
		if !s.Holds() {
			continue
		}
		claim := s.Token() - 1
		if claim < 0 || claim >= int64(len(p.records)) || p.records[claim].Token != 0 || p.records[claim].Node != name {
			t.Fatalf("%s holds token %d, which is no claim of its own", name, s.Token())
		}
		for o := claim + 1; o < int64(len(p.records)); o++ {
			if p.records[o].Token == 0 && s.ConfirmedUntil() > p.claimed[o]+DefaultTiming().Confidence {
				t.Fatalf("at %v %s is confirmed until %v; its successor claimed at %v", now, name, s.ConfirmedUntil(), p.claimed[o])
			}
		}
	}
}

func TestDueIsWhenTheNextActIsTold(t *testing.T) {
	g := NewWithT(t)
	p := &partition{}
	holder, follower := New(DefaultTiming(), "a", "1", 0), New(DefaultTiming(), "b", "1", 40*time.Millisecond)
	_, ok := follower.Due()
	g.Expect(ok).To(BeFalse(), "nothing was read")
	p.read(holder, 0)
	g.Expect(p.act(holder, 0)).To(Equal(Claim))
	p.read(holder, 10*time.Millisecond)
	p.read(follower, 10*time.Millisecond)
	for _, x := range []struct {
		state *State
		act   Act
	}{{holder, Beat}, {follower, Claim}} {
		at, ok := x.state.Due()
		g.Expect(ok).To(BeTrue())
		g.Expect(x.state.Next(at - 1)).To(Equal(Wait))
		g.Expect(x.state.Next(at)).To(Equal(x.act))
	}
	follower.Begin(time.Second, Claim, "")
	_, ok = follower.Due()
	g.Expect(ok).To(BeFalse(), "the answer is waited for")
}

func TestMembersOutliveTheirHolder(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	a, b := New(DefaultTiming(), "a", "1", 0), New(DefaultTiming(), "b", "1", 0)
	p.live(&now, 2*time.Second, a, b)
	r, end := a.Begin(now, Beat, "")
	r.Members = []string{"w1", "w2"}
	offset, done := p.append(now, r, end)
	a.Appended(now, r, offset, done)
	p.live(&now, 3*time.Second, a, b)
	g.Expect(b.Members()).To(Equal([]string{"w1", "w2"}), "records without members leave them")
	p.live(&now, 6*time.Second, b)
	g.Expect(b.Holds()).To(BeTrue())
	g.Expect(b.Released()).To(BeFalse())
	g.Expect(p.records[b.Token()-1].Members).To(Equal([]string{"w1", "w2"}), "a claim carries them on")
	p.records, p.claimed = append(p.records, b.Release()), append(p.claimed, now)
	c := New(DefaultTiming(), "c", "1", 0)
	p.live(&now, now+time.Second, c)
	g.Expect(c.Holds()).To(BeTrue())
	g.Expect(c.Released()).To(BeTrue())
}

func TestRecordOfItsOwnThatIsReadConfirms(t *testing.T) {
	g := NewWithT(t)
	p := &partition{}
	a := New(DefaultTiming(), "a", "1", 0)
	p.read(a, time.Second)
	r, end := a.Begin(time.Second, Claim, "")
	p.append(time.Second, r, end)
	a.Appended(2*time.Second, r, 0, false)
	g.Expect(a.Holds()).To(BeFalse())
	p.read(a, 3*time.Second)
	g.Expect(a.Holds()).To(BeTrue())
	g.Expect(a.ConfirmedUntil()).To(Equal(time.Second + DefaultTiming().Confidence))
}

// later is by how much small nodes leave a free right to larger ones here.
const later = 400 * time.Millisecond

// smallState returns the state of a node that leaves a free right to larger ones.
func smallState(node, incarnation string) *State {
	s := New(DefaultTiming(), node, incarnation, 0)
	s.Defer(later)
	return s
}

func TestSmallNodeWaitsForLargerOnesAfterAYield(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	small, large := smallState("small", "1"), New(DefaultTiming(), "large", "1", 0)
	p.live(&now, now+2*time.Second, New(DefaultTiming(), "holder", "1", 0), small, large)
	p.live(&now, now+600*time.Millisecond, small, large)
	small.Yielded(now, small.Token())
	large.Yielded(now, large.Token())
	g.Expect(large.Next(now)).To(Equal(Claim))
	for end := now + later; now < end; now += step {
		p.read(small, now)
		g.Expect(small.Next(now)).To(Equal(Wait), "the right was not free before the yield")
	}
	p.read(small, now)
	g.Expect(small.Next(now)).To(Equal(Claim), "no larger one has claimed")
}

func TestSmallNodeWaitsForLargerOnesWhenTheStoreIsBackAfterARelease(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	small, holder := smallState("small", "1"), New(DefaultTiming(), "holder", "1", 0)
	p.live(&now, now+2*time.Second, holder, small)
	p.records, p.claimed = append(p.records, holder.Release()), append(p.claimed, now)
	p.read(small, now)
	small.ReadFailed(now)
	now += 5 * time.Second
	p.read(small, now)
	g.Expect(small.Next(now + later - 1)).To(Equal(Wait))
	g.Expect(small.Next(now + later)).To(Equal(Claim))
}

func TestBeatReadAfterAYieldDoesNotBringTheRightBack(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	holder, late, small := New(DefaultTiming(), "holder", "1", 0), New(DefaultTiming(), "late", "1", 0), smallState("small", "1")
	p.live(&now, now+2*time.Second, holder, late, small)
	p.live(&now, now+500*time.Millisecond, holder)
	late.Yielded(now, late.Token())
	small.Yielded(now, small.Token())
	yielded := now
	now += step
	p.read(late, now)
	p.read(small, now)
	_, held := late.Holder()
	g.Expect(held).To(BeFalse(), "the beats are older than the yield")
	g.Expect(late.Next(now)).To(Equal(Claim))
	due, _ := small.Due()
	g.Expect(due).To(Equal(yielded+later), "the right has been free since the yield")
	g.Expect(p.act(late, now)).To(Equal(Claim))
	p.read(small, now)
	g.Expect(small.Token()).To(Equal(late.Token()), "a later claim counts")
}

func TestSmallNodeOfAFormerHolderDoesNotReclaimBeforeLargerOnes(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	former := smallState("small", "1")
	p.live(&now, 3*time.Second, former)
	g.Expect(former.Holds()).To(BeTrue())
	again, large := smallState("small", "2"), New(DefaultTiming(), "large", "1", 0)
	p.read(again, now)
	p.read(large, now)
	g.Expect(large.Next(now)).To(Equal(Wait), "it can't tell that the holder has ended")
	g.Expect(p.act(again, now)).To(Equal(GiveBack))
	p.read(large, now)
	g.Expect(large.Next(now)).To(Equal(Claim))
	for end := now + later; now < end; now += step {
		p.read(again, now)
		g.Expect(again.Next(now)).To(Equal(Wait))
	}
	p.read(again, now)
	g.Expect(p.act(again, now)).To(Equal(Claim), "no larger one has claimed")
	g.Expect(again.Holds()).To(BeTrue())
	g.Expect(again.Token()).To(BeNumerically(">", former.Token()))
}

func TestRightThatIsGivenBackTooLateHasItsNewHolder(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	p.live(&now, 3*time.Second, smallState("small", "1"))
	again, large := smallState("small", "2"), New(DefaultTiming(), "large", "1", 0)
	p.read(again, now)
	r, end := again.Begin(now, GiveBack, "")
	p.live(&now, now+2*time.Second, large)
	g.Expect(large.Holds()).To(BeTrue())
	offset, done := p.append(now, r, end)
	g.Expect(done).To(BeFalse())
	again.Appended(now, r, offset, done)
	p.read(again, now)
	g.Expect(again.Token()).To(Equal(large.Token()))
	g.Expect(again.Next(now)).To(Equal(Wait))
}

func TestSmallNodeThatSuspectsTheHolderDoesNotClaimBeforeLargerOnes(t *testing.T) {
	g := NewWithT(t)
	p, now := &partition{}, time.Second
	const spread = 100 * time.Millisecond
	small, large := smallState("small", "1"), New(DefaultTiming(), "large", "1", spread)
	p.live(&now, now+2*time.Second, New(DefaultTiming(), "holder", "1", 0), small, large)
	small.Suspect(now)
	first, _ := large.Due()
	second, _ := small.Due()
	g.Expect(second).To(Equal(first+later-spread), "the large one suspects nothing")
	large.Suspect(now)
	sooner, _ := large.Due()
	g.Expect(sooner).To(Equal(first - (DefaultTiming().Silence - DefaultTiming().Suspicion)))
}
