package runtimes

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"

	"github.com/pkg/errors"
)

// A snapshot holds the format, a checksum of the rest, and the entries, the most recently used
// first. Queues are not listed: their sums are those of their pairs.

const (
	// snapshotFormat is changed whenever earlier versions could misread a snapshot.
	snapshotFormat = "rt1:"
	// maxSnapshotBytes bounds a snapshot. Pairs take pairsShare of it at most.
	maxSnapshotBytes, pairsShare = 64 << 10, 0.6
	headerBytes                  = len(snapshotFormat) + 4
	// maxLog bounds the logarithms of times in a snapshot; those of a Duration are smaller.
	maxLog = 44
	// maxWeight bounds the weights in a snapshot: that of a level is 1/(1-decay) at most.
	maxWeight = 16.01
)

// ErrUnknownFormat is returned for snapshots of a format that this version doesn't know.
var ErrUnknownFormat = errors.New("unknown format of run times")

// ErrDamaged is returned for snapshots that can't be decoded.
var ErrDamaged = errors.New("damaged run times")

// Snapshot returns what the model knows, in as many bytes as its Settings state. Of a larger model, the least
// recently used entries are left out.
func (m *Model) Snapshot() []byte {
	pairsBytes := int(pairsShare * float64(m.snapshotBytes-headerBytes-binary.MaxVarintLen32))
	pairs, pairCount := make([]byte, 0, 4096), 0
	numbers := map[pairKey]int{}
	m.pairs.each(func(k pairKey, p *pair) bool {
		b := appendPair(nil, k, p)
		if len(pairs)+len(b) > pairsBytes {
			return false
		}
		numbers[k] = pairCount
		pairs, pairCount = append(pairs, b...), pairCount+1
		return true
	})
	specs, specCount := make([]byte, 0, 4096), 0
	m.specs.each(func(k specKey, s *spec) bool {
		number, ok := numbers[k.pairKey]
		if !ok {
			return true
		}
		p, _ := m.pairs.get(k.pairKey)
		b := appendSpec(nil, number, k, s, p)
		if headerBytes+len(pairs)+len(specs)+len(b)+2*binary.MaxVarintLen32 > m.snapshotBytes {
			return false
		}
		specs, specCount = append(specs, b...), specCount+1
		return true
	})
	body := binary.AppendUvarint(nil, uint64(pairCount))
	body = append(body, pairs...)
	body = binary.AppendUvarint(body, uint64(specCount))
	body = append(body, specs...)
	return withHeader(body)
}

func withHeader(body []byte) []byte {
	out := make([]byte, 0, headerBytes+len(body))
	out = append(out, snapshotFormat...)
	out = binary.BigEndian.AppendUint32(out, crc32.ChecksumIEEE(body))
	return append(out, body...)
}

func appendPair(b []byte, k pairKey, p *pair) []byte {
	for _, name := range [...]string{k.account, k.queue} {
		b = binary.AppendUvarint(b, uint64(len(name)))
		b = append(b, name...)
	}
	b = binary.AppendUvarint(b, uint64(p.count))
	// Means and central moments lose less by rounding than sums.
	n := max(p.n, math.SmallestNonzeroFloat64)
	mx, mr := p.x/n, p.r/n
	return appendFloats(b, p.n, mx, mr, max(p.xx/n-mx*mx, 0), p.xr/n-mx*mr, p.variance)
}

func appendSpec(b []byte, number int, k specKey, s *spec, p *pair) []byte {
	b = binary.AppendUvarint(b, uint64(number))
	b = binary.BigEndian.AppendUint64(b, k.hash)
	b = binary.AppendUvarint(b, uint64(s.count))
	return appendFloats(b, s.n, s.y, s.r, s.vy, s.vr, s.weightAt(p))
}

func appendFloats(b []byte, values ...float64) []byte {
	for _, v := range values {
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(v)))
	}
	return b
}

// snapshotReader decodes a snapshot. After a failure, it returns zero values.
type snapshotReader struct {
	rest   []byte
	failed bool
}

func (r *snapshotReader) take(n uint64) []byte {
	if r.failed || n > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

// number decodes a number up to limit.
func (r *snapshotReader) number(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if r.failed || n <= 0 || v > limit {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// float decodes a value between low and high.
func (r *snapshotReader) float(low, high float64) float64 {
	b := r.take(4)
	if b == nil {
		return 0
	}
	v := float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
	if !(v >= low && v <= high) { // false for NaN
		r.failed = true
		return 0
	}
	return v
}

func (r *snapshotReader) name() string { return string(r.take(r.number(maxName))) }

type decodedPair struct {
	key  pairKey
	pair pair
}

type decodedSpec struct {
	key  specKey
	spec spec
}

// maxCount bounds counts of observations in a snapshot.
const maxCount = 1 << 53

func (r *snapshotReader) pair() decodedPair {
	var d decodedPair
	d.key = pairKey{r.name(), r.name()}
	p := &d.pair
	p.count = int64(r.number(maxCount))
	p.n = r.float(0, maxWeight)
	mx, mr := r.float(0, maxLog), r.float(-2, 2)
	vx, cov := r.float(0, maxLog*maxLog), r.float(-2*maxLog, 2*maxLog)
	p.x, p.r, p.xx, p.xr = p.n*mx, p.n*mr, p.n*(vx+mx*mx), p.n*(cov+mx*mr)
	p.variance = r.float(0, 4)
	return d
}

func (r *snapshotReader) spec(pairs []decodedPair) decodedSpec {
	var d decodedSpec
	number := r.number(uint64(max(len(pairs)-1, 0)))
	hash := r.take(8)
	s := &d.spec
	s.count = int64(r.number(maxCount))
	s.n, s.y, s.r = r.float(0, maxWeight), r.float(-2, maxLog+2), r.float(-2, 2)
	s.vy, s.vr, s.weight = r.float(0, maxLog*maxLog), r.float(0, 4), r.float(0, maxSpecWeight+1)
	if r.failed || len(pairs) == 0 {
		r.failed = true
		return d
	}
	d.key = specKey{pairs[number].key, binary.BigEndian.Uint64(hash)}
	return d
}

func decodeSnapshot(snapshot []byte) ([]decodedPair, []decodedSpec, error) {
	if len(snapshot) < len(snapshotFormat) || string(snapshot[:len(snapshotFormat)]) != snapshotFormat {
		return nil, nil, ErrUnknownFormat
	}
	if len(snapshot) < headerBytes || len(snapshot) > maxSnapshotBytes {
		return nil, nil, ErrDamaged
	}
	body := snapshot[headerBytes:]
	if crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(snapshot[len(snapshotFormat):]) {
		return nil, nil, ErrDamaged
	}
	r := &snapshotReader{rest: body}
	var pairs []decodedPair
	for n := r.number(maxSnapshotBytes); n > 0 && !r.failed; n-- {
		pairs = append(pairs, r.pair())
	}
	var specs []decodedSpec
	for n := r.number(maxSnapshotBytes); n > 0 && !r.failed; n-- {
		specs = append(specs, r.spec(pairs))
	}
	if r.failed || len(r.rest) > 0 {
		return nil, nil, ErrDamaged
	}
	return pairs, specs, nil
}

// Merge adds what another model has learned. Of an entry that both know, the one with more
// observations stays, so that a snapshot may be merged repeatedly. If it returns an error,
// which is ErrUnknownFormat or ErrDamaged, the model is unchanged.
func (m *Model) Merge(snapshot []byte) error {
	pairs, specs, err := decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	for _, d := range slices.Backward(pairs) {
		if p, ok := m.pairs.get(d.key); ok && p.count >= d.pair.count {
			continue
		}
		p := m.ensurePair(d.key)
		q := p.queue
		q.count += d.pair.count - p.count
		q.variance += (d.pair.variance - q.variance) / float64(len(q.pairs))
		old := p.sums
		p.sums, p.count, p.variance = d.pair.sums, d.pair.count, d.pair.variance
		q.replace(old, p.sums)
	}
	for _, d := range slices.Backward(specs) {
		s, ok := m.specs.get(d.key)
		if ok && s.count >= d.spec.count {
			continue
		}
		p, known := m.pairs.get(d.key.pairKey)
		if !known {
			continue
		}
		if !ok {
			s = &spec{}
			m.specs.add(d.key, s)
		}
		*s = d.spec
		s.at = p.age
	}
	return nil
}

// recompute adds up the queue's pairs.
func (q *queue) recompute() {
	names := make([]string, 0, len(q.pairs))
	for name := range q.pairs {
		names = append(names, name)
	}
	slices.Sort(names)
	q.sums, q.updates = sums{}, 0
	for _, name := range names {
		q.add(q.pairs[name].sums, 1)
	}
}
