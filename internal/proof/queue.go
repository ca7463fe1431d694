// Package proof runs scheduler cores against small fakes at their interfaces in
// virtual time, under faults, and lets the checker judge what came of it. One
// seed gives one history. The fakes hold no policy.
package proof

import (
	"container/heap"
	"time"
)

// queue orders what is to happen in virtual time.
type queue struct {
	items []item
	seq   uint64
}

type item struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (q *queue) Len() int { return len(q.items) }

func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *queue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

func (q *queue) Push(x any) { q.items = append(q.items, x.(item)) }

func (q *queue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

func (q *queue) add(at time.Duration, do func()) {
	q.seq++
	heap.Push(q, item{at, q.seq, do})
}

func (q *queue) next() item { return heap.Pop(q).(item) }

// clock runs at its own rate from its own origin.
type clock struct {
	offset time.Duration
	// ppm is the difference of its rate from true time, in millionths.
	ppm int64
}

func (c clock) read(now time.Duration) time.Duration {
	return c.offset + now + now*time.Duration(c.ppm)/1_000_000
}

// maxPPM keeps any two clocks within the drift that ownership.Timing allows.
const maxPPM = 2400
