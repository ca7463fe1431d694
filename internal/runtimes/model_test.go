package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func observe(m *Model, account, spec string, declared, actual time.Duration) {
	m.Observe(Observation{Account: account, Queue: "q", Spec: spec, Declared: declared, Actual: actual})
}

func ratio(m *Model, account, spec string, declared time.Duration) float64 {
	return float64(m.Estimate(account, "q", spec, "", declared).Expected) / float64(declared)
}

// TestNothingKnownGivesDeclared guards against estimates that are made up.
func TestNothingKnownGivesDeclared(t *testing.T) {
	g := NewWithT(t)
	m := New(Settings{})
	g.Expect(m.Estimate("a", "q", "s", "i", time.Second)).To(Equal(Estimate{Expected: time.Second, Low: time.Second, High: time.Second, Source: SourceDeclared}))
	observe(m, "a", "s", 0, time.Second)
	observe(m, "a", "s", time.Second, 0)
	observe(m, "a", "s", time.Second, 3*time.Second)
	g.Expect(ratio(m, "a", "s", time.Second)).To(Equal(1.0), "one run is not enough")
}

// TestConstantFactorIsCorrected guards against a queue's error that stays.
func TestConstantFactorIsCorrected(t *testing.T) {
	for _, factor := range []float64{0.4, 1, 3} {
		g := NewWithT(t)
		m := New(Settings{})
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 60 {
			d := time.Duration(float64(time.Second) * math.Exp(random.NormFloat64()))
			observe(m, "a", strconv.Itoa(i), d, time.Duration(factor*float64(d)))
		}
		g.Expect(ratio(m, "a", "new", 2*time.Second)).To(BeNumerically("~", factor, 0.15*factor))
		g.Expect(ratio(m, "other account", "new", 2*time.Second)).To(BeNumerically("~", factor, 0.3*factor))
	}
}

// TestNoiseIsShrunk guards against estimates that follow the noise of the declared values.
func TestNoiseIsShrunk(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	m := New(Settings{})
	var declaredErr, learnedErr, within float64
	const warmUp, n = 100, 20000
	for i := range warmUp + n {
		y := math.Log(float64(2*time.Second)) + 0.5*random.NormFloat64()
		declared := time.Duration(math.Exp(y + 0.5*random.NormFloat64()))
		actual := time.Duration(math.Exp(y))
		if i >= warmUp {
			e := m.Estimate("a", "q", strconv.Itoa(i), "", declared)
			declaredErr += math.Pow(math.Log(float64(declared)/float64(actual)), 2)
			learnedErr += math.Pow(math.Log(float64(e.Expected)/float64(actual)), 2)
			if e.Low <= actual && actual <= e.High {
				within++
			}
		}
		observe(m, "a", strconv.Itoa(i), declared, actual)
	}
	declaredErr, learnedErr = math.Sqrt(declaredErr/n), math.Sqrt(learnedErr/n)
	t.Logf("root mean square of the log error: declared %.3f, learned %.3f; %.3f of the runs between Low and High", declaredErr, learnedErr, within/n)
	g.Expect(learnedErr).To(BeNumerically("<", 0.85*declaredErr))
	g.Expect(within / n).To(BeNumerically("~", 0.8, 0.06))
}

// TestChangeIsFollowed guards against a model that stays with what was true before.
func TestChangeIsFollowed(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		g := NewWithT(t)
		m := New(Settings{})
		spec := func(i int) string {
			if repeated {
				return "s"
			}
			return strconv.Itoa(i)
		}
		for i := range 300 {
			observe(m, "a", spec(i), time.Second, time.Second)
		}
		for i := range 30 {
			observe(m, "a", spec(1000+i), time.Second, 3*time.Second)
		}
		g.Expect(ratio(m, "a", spec(5000), time.Second)).To(BeNumerically(">", 2.3))
	}
}

// otherAccountsBound is the most by which one account can shift the estimates of another
// one with 30 runs of its own, in a queue that both use: the weight of the queue level times
// its shift, 2 ln 4 at most. It is a factor of 1.87.
var otherAccountsBound = math.Exp(pairPrior / (pairPrior + (1-math.Pow(decay, 30))/(1-decay)) * 2 * maxLogRatio)

// TestPoisonedAccountIsBounded guards against an account that spoils the estimates of others.
func TestPoisonedAccountIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		clean, poisoned := New(Settings{}), New(Settings{})
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for i := range 30 {
			d := time.Duration(float64(time.Second) * math.Exp(0.7*random.NormFloat64()))
			a := time.Duration(float64(d) * math.Exp(0.4*random.NormFloat64()))
			observe(clean, "honest", strconv.Itoa(i), d, a)
			observe(poisoned, "honest", strconv.Itoa(i), d, a)
		}
		for i := range rapid.IntRange(0, 300).Draw(t, "runs") {
			d := rapid.SampledFrom([]time.Duration{1, time.Millisecond, time.Second, time.Hour, 1000 * time.Hour}).Draw(t, "declared")
			a := rapid.SampledFrom([]time.Duration{1, time.Second, 1000 * time.Hour}).Draw(t, "actual")
			observe(poisoned, "poisoner", strconv.Itoa(i%7), d, a)
		}
		for _, d := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
			shift := ratio(poisoned, "honest", "new", d) / ratio(clean, "honest", "new", d)
			g.Expect(math.Abs(math.Log(shift))).To(BeNumerically("<=", math.Log(otherAccountsBound)+1e-6))
		}
	})
}

// TestPoisonedSpecIsBounded guards against one spec, run very often, that spoils the
// estimates of the other specs of its account.
func TestPoisonedSpecIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := New(Settings{})
	for i := range 40 {
		observe(m, "a", strconv.Itoa(i), time.Second, time.Second)
	}
	for range 1000 {
		observe(m, "a", "poisoned", time.Second, time.Hour)
	}
	g.Expect(ratio(m, "a", "new", time.Second)).To(BeNumerically("<", 1.6))
	g.Expect(ratio(m, "a", "poisoned", time.Second)).To(BeNumerically(">", 3))
}

// drawModel returns a model after random input.
func drawModel(t *rapid.T, label string, set Settings) *Model {
	m := New(set)
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, label+" seed"), 5))
	names := rapid.IntRange(1, 60).Draw(t, label+" names")
	for range rapid.IntRange(0, 3000).Draw(t, label+" runs") {
		m.Observe(Observation{Account: "account" + strconv.Itoa(random.IntN(names)), Queue: "queue" + strconv.Itoa(random.IntN(names)),
			Spec: strconv.Itoa(random.IntN(100 * names)), Image: "i", Declared: time.Duration(random.Int64N(1 << 50)), Actual: time.Duration(random.Int64N(1 << 50))})
	}
	return m
}

// TestBounds guards against memory that grows with the input, and estimates beyond a factor
// of 4.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		set := Settings{MaxQueues: rapid.IntRange(1, 20).Draw(t, "queues"), MaxPairs: rapid.IntRange(1, 50).Draw(t, "pairs"), MaxSpecs: rapid.IntRange(1, 100).Draw(t, "specs")}
		m := drawModel(t, "model", set)
		check := func() {
			g.Expect(m.queues.len()).To(BeNumerically("<=", set.MaxQueues))
			g.Expect(m.pairs.len()).To(BeNumerically("<=", set.MaxPairs))
			g.Expect(m.specs.len()).To(BeNumerically("<=", set.MaxSpecs))
			pairs := 0
			m.queues.each(func(name string, q *queue) bool {
				pairs += len(q.pairs)
				sum := q.sums
				q.recompute()
				g.Expect(sum.n).To(BeNumerically("~", q.n, 1e-6))
				g.Expect(sum.xx).To(BeNumerically("~", q.xx, 1e-6*(1+q.xx)))
				return true
			})
			g.Expect(pairs).To(Equal(m.pairs.len()), "queues hold just the pairs in the model")
		}
		check()
		declared := time.Duration(rapid.Int64Range(1, math.MaxInt64).Draw(t, "declared"))
		e := m.Estimate("account0", "queue0", rapid.StringN(0, 20, 2000).Draw(t, "spec"), "i", declared)
		g.Expect(float64(e.Expected)).To(BeNumerically("<=", 4.001*float64(declared)))
		g.Expect(float64(e.Expected)).To(BeNumerically(">=", float64(declared)/4.001-1))
		g.Expect(e.Low).To(BeNumerically("<=", e.High))
		g.Expect(m.Merge(drawModel(t, "other", Settings{}).Snapshot())).To(Succeed())
		check()
	})
}

// TestSnapshotKeepsModel guards against a new leader that estimates otherwise than the one
// before. Snapshots have 32-bit numbers.
func TestSnapshotKeepsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m, next := drawModel(t, "model", Settings{MaxSpecs: 300, MaxPairs: 200}), New(Settings{})
		snapshot := m.Snapshot()
		g.Expect(len(snapshot)).To(BeNumerically("<=", 64<<10))
		g.Expect(next.Merge(snapshot)).To(Succeed())
		for i := range 20 {
			n := strconv.Itoa(i)
			x, y := m.Estimate("account"+n, "queue"+n, n, "i", time.Hour), next.Estimate("account"+n, "queue"+n, n, "i", time.Hour)
			g.Expect(y.Source).To(Equal(x.Source))
			g.Expect(y.Count).To(Equal(x.Count))
			g.Expect(float64(y.Expected)).To(BeNumerically("~", float64(x.Expected), 1e-3*float64(x.Expected)))
		}
		again := next.Snapshot()
		g.Expect(next.Merge(again)).To(Succeed())
		g.Expect(next.Snapshot()).To(Equal(again), "a snapshot merged repeatedly changes nothing")
	})
}

// TestLargeModelFitsSnapshot guards against a record that is too large.
func TestLargeModelFitsSnapshot(t *testing.T) {
	g := NewWithT(t)
	m := New(Settings{})
	for i := range 4000 {
		m.Observe(Observation{Account: fmt.Sprintf("%0100d", i%1500), Queue: fmt.Sprintf("%0100d", i%300), Spec: strconv.Itoa(i), Declared: time.Second, Actual: time.Second})
	}
	for _, limit := range []int{100, 1000, 10000, 1 << 20} {
		m.snapshotBytes = New(Settings{MaxSnapshotBytes: limit}).snapshotBytes
		g.Expect(len(m.Snapshot())).To(BeNumerically("<=", min(limit, 64<<10)))
		g.Expect(New(Settings{}).Merge(m.Snapshot())).To(Succeed())
	}
	snapshot := m.Snapshot()
	g.Expect(len(snapshot)).To(BeNumerically(">", 32<<10))
	next := New(Settings{})
	g.Expect(next.Merge(snapshot)).To(Succeed())
	_, ok := next.pairs.get(pairKey{fmt.Sprintf("%0100d", 3999%1500), fmt.Sprintf("%0100d", 3999%300)})
	g.Expect(ok).To(BeTrue(), "the newest entries are kept")
}

// TestMergeOfTwoHosts guards against a merge that loses what either host knows.
func TestMergeOfTwoHosts(t *testing.T) {
	g := NewWithT(t)
	a, b := New(Settings{}), New(Settings{})
	for i := range 40 {
		observe(a, "x", strconv.Itoa(i), time.Second, 2*time.Second)
		observe(b, "y", strconv.Itoa(i), time.Second, time.Second/2)
		observe(b, "x", strconv.Itoa(i), time.Second, time.Second)
	}
	observe(a, "x", "last", time.Second, 2*time.Second)
	g.Expect(a.Merge(b.Snapshot())).To(Succeed())
	g.Expect(ratio(a, "x", "new", time.Second)).To(BeNumerically(">", 1.5), "the pair with more observations stays")
	g.Expect(ratio(a, "y", "new", time.Second)).To(BeNumerically("<", 0.75))
}

// TestUnreadableSnapshotChangesNothing guards against a model that is half merged.
func TestUnreadableSnapshotChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := drawModel(t, "model", Settings{MaxSpecs: 100})
		before := m.Snapshot()
		bad := drawModel(t, "other", Settings{MaxSpecs: 50}).Snapshot()
		if rapid.Bool().Draw(t, "format") {
			bad[2] = '2'
			g.Expect(m.Merge(bad)).To(MatchError(ErrUnknownFormat))
		} else if rapid.Bool().Draw(t, "cut") {
			g.Expect(m.Merge(bad[:rapid.IntRange(0, len(bad)-1).Draw(t, "length")])).To(HaveOccurred())
		} else {
			bad[rapid.IntRange(0, len(bad)-1).Draw(t, "at")] ^= 0x10
			g.Expect(m.Merge(bad)).To(HaveOccurred())
		}
		g.Expect(m.Snapshot()).To(Equal(before))
	})
}

// FuzzMerge guards against a snapshot that ends the process or leaves numbers that no
// estimate can be made of.
func FuzzMerge(f *testing.F) {
	m := New(Settings{})
	for i := range 5 {
		observe(m, "a", strconv.Itoa(i), time.Second, 2*time.Second)
	}
	f.Add(m.Snapshot()[headerBytes:])
	f.Fuzz(func(t *testing.T, body []byte) {
		m := New(Settings{})
		if m.Merge(withHeader(body)) == nil {
			e := m.Estimate("a", "q", "0", "", time.Second)
			NewWithT(t).Expect(e.Expected).To(And(BeNumerically(">=", time.Second/4), BeNumerically("<=", 4*time.Second)))
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	m := New(Settings{})
	specs := make([]string, 5000)
	for i := range specs {
		specs[i] = "spec-of-a-common-length-" + strconv.Itoa(i)
	}
	for i := 0; b.Loop(); i++ {
		observe(m, "account", specs[i%len(specs)], time.Second, time.Second+time.Duration(i%1000)*time.Millisecond)
	}
}

func BenchmarkEstimate(b *testing.B) {
	m := New(Settings{})
	for i := range 5000 {
		observe(m, "account", strconv.Itoa(i), time.Second, 2*time.Second)
	}
	for b.Loop() {
		m.Estimate("account", "q", "spec-of-a-common-length", "image", time.Second)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	m := New(Settings{})
	for i := range 5000 {
		m.Observe(Observation{Account: "account" + strconv.Itoa(i%40), Queue: "queue" + strconv.Itoa(i%25), Spec: strconv.Itoa(i), Declared: time.Second, Actual: time.Second})
	}
	for b.Loop() {
		m.Snapshot()
	}
}
