// Package runtimes estimates how long tasks run, from what callers declare and from how
// long finished runs took. It reads no clock, does no I/O, and gives the same results for
// the same calls. A Model is not safe for concurrent use.
package runtimes

import (
	"math"
	"time"
)

const (
	// decay is the factor by which an observation's weight falls with each later one. After
	// 30 observations, 0.14 of the weight is left to older ones.
	decay = 1 - 1.0/16
	// minSpecCount and minPairCount are how many observations a level needs to be used.
	minSpecCount, minPairCount = 3, 3
	// specPrior, pairPrior and queuePrior are the weights of the next level, in
	// observations.
	specPrior, pairPrior, queuePrior = 2, 4, 4
	// slopePrior is the weight, in observations of variance slopeVariance, of a slope of 1:
	// declared values count as proportional to the actual ones until shown otherwise.
	slopePrior, slopeVariance = 2, 0.25
	// maxSpecWeight bounds the weight of one spec's observations at the other levels; a level
	// has a weight of 16 at most.
	maxSpecWeight = 4
	// minWeight is the least weight of sums that are used: rounding errors of differences of
	// sums are far below it.
	minWeight = 0.01
	// maxName bounds the length of names of accounts and queues that are learned, in bytes.
	maxName = 128
	// maxHashedText is how much of a spec or image distinguishes it, in bytes.
	maxHashedText = 512
	// initialVariance is that of the logarithm of actual over expected time before any is
	// observed; 10% to 90% of the runs are within spreadQuantile standard deviations.
	initialVariance, spreadQuantile = 0.25, 1.2816
)

var (
	// maxLogRatio bounds the logarithm of expected over declared time.
	maxLogRatio = math.Log(4)
	// maxShrink bounds the part of it that depends on the declared time.
	maxShrink = math.Log(2)
)

// Sources of estimates.
const (
	SourceDeclared = "declared"
	SourceQueue    = "queue"
	SourceAccount  = "account"
	SourceSpec     = "spec"
)

// Settings bound the memory of a model. Zero values stand for the defaults.
type Settings struct {
	// MaxQueues, MaxPairs and MaxSpecs bound the queues, the pairs of account and queue,
	// and the specs.
	MaxQueues, MaxPairs, MaxSpecs int
	// MaxSnapshotBytes bounds snapshots; it is 64 KiB at most.
	MaxSnapshotBytes int
}

// Observation is a finished run: how long a whole run took, scaled to a worker of speed 1.
type Observation struct {
	Account, Queue, Spec, Image string
	Declared, Actual            time.Duration
}

// Estimate is the expected run time. Eight of ten runs are expected to take between Low and
// High.
type Estimate struct {
	Expected, Low, High time.Duration
	// Count is the number of observations at the level that Source names.
	Count  int64
	Source string
}

// pairKey identifies a pair of account and queue, specKey a spec and image of such a pair.
type pairKey struct{ account, queue string }

type specKey struct {
	pairKey
	hash uint64
}

// sums are decayed sums over the logarithm x of the declared time and the logarithm r of
// actual over declared time.
type sums struct{ n, x, r, xx, xr float64 }

func (s *sums) add(o sums, factor float64) {
	s.n += factor * o.n
	s.x += factor * o.x
	s.r += factor * o.r
	s.xx += factor * o.xx
	s.xr += factor * o.xr
}

// correction returns the expected logarithm of actual over declared time.
func (s *sums) correction(x float64) float64 {
	if s.n < minWeight {
		return 0
	}
	mx, mr := s.x/s.n, s.r/s.n
	prior := slopePrior * slopeVariance
	// The slope of r is that of the logarithm of the actual time less 1.
	slope := (s.xr - s.n*mx*mr) / (max(s.xx-s.n*mx*mx, 0) + prior)
	slope = min(max(slope, -1), 0)
	return mr + clamp(slope*(x-mx), maxShrink)
}

// pair is what is known of an account in a queue. variance is that of the logarithm of
// actual over expected time. age is the sum of all weights that were added: sums decay with
// it, and not with the number of observations.
type pair struct {
	sums
	count    int64
	age      float64
	variance float64
	queue    *queue
}

// queue is the sum over the accounts of a queue, each of which has a bounded weight.
type queue struct {
	sums
	count    int64
	variance float64
	pairs    map[string]*pair
	// updates counts changes of the sums since they were computed anew.
	updates int
}

// spec is what is known of a spec: means and variances of the logarithms of the actual time
// and of actual over declared time. weight is the decayed weight of its observations in its
// pair, as of the pair's age at.
type spec struct {
	n, y, r, vy, vr float64
	count           int64
	weight, at      float64
}

// Model estimates run times. Create it with New.
type Model struct {
	queues *lru[string, *queue]
	pairs  *lru[pairKey, *pair]
	specs  *lru[specKey, *spec]
	// snapshotBytes bounds snapshots.
	snapshotBytes int
}

// New returns a model that knows nothing.
func New(set Settings) *Model {
	m := &Model{snapshotBytes: min(orDefault(set.MaxSnapshotBytes, maxSnapshotBytes), maxSnapshotBytes)}
	m.queues = newLRU(orDefault(set.MaxQueues, 256), m.dropQueue)
	m.pairs = newLRU(orDefault(set.MaxPairs, 1024), m.dropPair)
	m.specs = newLRU[specKey, *spec](orDefault(set.MaxSpecs, 2048), nil)
	return m
}

func orDefault(v, def int) int {
	if v <= 0 {
		return def
	}
	return v
}

// dropQueue removes the pairs of a dropped queue.
func (m *Model) dropQueue(name string, q *queue) {
	for account := range q.pairs {
		m.pairs.remove(pairKey{account, name})
	}
}

// dropPair takes a dropped pair out of its queue.
func (m *Model) dropPair(k pairKey, p *pair) {
	p.queue.add(p.sums, -1)
	p.queue.count -= p.count
	delete(p.queue.pairs, k.account)
	if len(p.queue.pairs) == 0 {
		m.queues.remove(k.queue)
	}
}

// ensurePair returns the pair, which becomes the most recently used one with its queue.
func (m *Model) ensurePair(k pairKey) *pair {
	if p, ok := m.pairs.use(k); ok {
		m.queues.use(k.queue)
		return p
	}
	q, ok := m.queues.use(k.queue)
	if !ok {
		q = &queue{variance: initialVariance, pairs: map[string]*pair{}}
		m.queues.add(k.queue, q)
	}
	p := &pair{variance: initialVariance, queue: q}
	// The queue must have the pair before another one of it may be dropped.
	q.pairs[k.account] = p
	m.pairs.add(k, p)
	return p
}

func learnable(account, queue string, declared time.Duration) bool {
	return declared > 0 && len(account) <= maxName && len(queue) <= maxName
}

// Observe learns from a finished run. Runs without a declared or an actual time are ignored.
func (m *Model) Observe(o Observation) {
	if o.Actual <= 0 || !learnable(o.Account, o.Queue, o.Declared) {
		return
	}
	x, y := math.Log(float64(o.Declared)), math.Log(float64(o.Actual))
	r := clamp(y-x, maxLogRatio)
	y = x + r
	k := specKey{pairKey{o.Account, o.Queue}, hashSpec(o.Spec, o.Image)}
	before, _, _ := m.estimate(k, x)
	p := m.ensurePair(k.pairKey)
	s, ok := m.specs.use(k)
	if !ok {
		s = &spec{}
		m.specs.add(k, s)
	}
	p.count++
	p.queue.count++
	m.learnPair(p, s.share(p), x, r)
	s.learn(y, r)
	e := clamp(r-before, maxLogRatio)
	p.variance += (1 - decay) * (e*e - p.variance)
	p.queue.variance += (1 - decay) / float64(len(p.queue.pairs)) * (e*e - p.queue.variance)
}

// share returns the weight of the spec's next observation in its pair. It is 1 for specs
// that are rarely seen, and falls to 0 as the spec's weight reaches its bound.
func (s *spec) share(p *pair) float64 {
	s.weight = s.weightAt(p)
	w := max(0, 1-s.weight/maxSpecWeight)
	s.weight = s.weight*decayBy(w) + w
	s.at = p.age + w
	return w
}

// weightAt returns the spec's weight as of the pair's present age. It is 0 if the pair has been
// dropped since the spec was last seen.
func (s *spec) weightAt(p *pair) float64 {
	if p.age < s.at {
		return 0
	}
	return s.weight * math.Pow(decay, p.age-s.at)
}

// decayBy returns the factor by which weights fall when an observation of weight w is added.
func decayBy(w float64) float64 { return 1 - (1-decay)*w }

// learnPair adds an observation of weight w to a pair, and the change to its queue.
func (m *Model) learnPair(p *pair, w, x, r float64) {
	old := p.sums
	p.sums = sums{}
	p.add(old, decayBy(w))
	p.add(sums{1, x, r, x * x, x * r}, w)
	p.age += w
	p.queue.replace(old, p.sums)
}

// recomputeInterval is after how many changes a queue's sums are computed anew, so that
// rounding errors don't accumulate.
const recomputeInterval = 4096

func (q *queue) replace(old, next sums) {
	q.add(old, -1)
	q.add(next, 1)
	if q.updates++; q.updates < recomputeInterval {
		return
	}
	q.recompute()
}

func (s *spec) learn(y, r float64) {
	s.count++
	s.n = s.n*decay + 1
	gain := 1 / s.n
	dy, dr := y-s.y, r-s.r
	s.y += gain * dy
	s.r += gain * dr
	s.vy += gain * ((1-gain)*dy*dy - s.vy)
	s.vr += gain * ((1-gain)*dr*dr - s.vr)
}

// correction returns the expected logarithm of actual over declared time: by the actual times
// or by their ratios to the declared ones, whichever have varied less.
func (s *spec) correction(x float64) float64 {
	if s.vy < s.vr {
		return s.y - x
	}
	return s.r
}

// Estimate returns the expected run time of a task.
func (m *Model) Estimate(account, queue, spec, image string, declared time.Duration) Estimate {
	none := Estimate{Expected: declared, Low: declared, High: declared, Source: SourceDeclared}
	if !learnable(account, queue, declared) {
		return none
	}
	r, source, count := m.estimate(specKey{pairKey{account, queue}, hashSpec(spec, image)}, math.Log(float64(declared)))
	if source == SourceDeclared {
		return none
	}
	q, _ := m.queues.get(queue)
	sd := math.Sqrt(q.variance)
	if p, ok := q.pairs[account]; ok {
		sd = math.Sqrt(p.variance)
	}
	scale := func(log float64) time.Duration {
		// Rounding in the exponent must not exceed the bound.
		return time.Duration(min(float64(declared)*math.Exp(log), float64(math.MaxInt64/2)))
	}
	e := Estimate{Expected: scale(r), Low: scale(r - spreadQuantile*sd), High: scale(r + spreadQuantile*sd), Count: count, Source: source}
	if declared < math.MaxInt64/8 {
		e.Expected = min(max(e.Expected, declared/4), declared*4)
	}
	return e
}

// estimate returns the logarithm of expected over declared time, the most specific level that
// is used, and the number of observations there.
func (m *Model) estimate(k specKey, x float64) (r float64, source string, count int64) {
	source = SourceDeclared
	q, ok := m.queues.get(k.queue)
	if !ok || q.n < minWeight || q.count < minPairCount {
		return 0, source, 0
	}
	r = blend(q.n, queuePrior, clamp(q.correction(x), maxLogRatio), 0)
	source, count = SourceQueue, q.count
	if p, ok := q.pairs[k.account]; ok && p.count >= minPairCount {
		r = blend(p.n, pairPrior, clamp(p.correction(x), maxLogRatio), r)
		source, count = SourceAccount, p.count
	}
	if s, ok := m.specs.get(k); ok && s.count >= minSpecCount {
		r = blend(s.n, specPrior, clamp(s.correction(x), maxLogRatio), r)
		source, count = SourceSpec, s.count
	}
	return clamp(r, maxLogRatio), source, count
}

// blend weighs a level of n observations against the next one.
func blend(n, prior, level, next float64) float64 { return next + n/(n+prior)*(level-next) }

func clamp(v, bound float64) float64 { return min(max(v, -bound), bound) }

// hashSpec returns the FNV-1a hash of a spec and an image. Of a long text, the beginning, the
// end and the length count.
func hashSpec(spec, image string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range [...]string{spec, image} {
		h = (h ^ uint64(len(s))) * 1099511628211
		if len(s) > maxHashedText {
			h = hashText(hashText(h, s[:maxHashedText/2]), s[len(s)-maxHashedText/2:])
			continue
		}
		h = hashText(h, s)
	}
	return h
}

func hashText(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
