// Package timeline provides an event queue in virtual time.
package timeline

import (
	"container/heap"
	"time"
)

// Queue is a queue of scheduled functions. Functions of the same time are returned
// in the order in which they were scheduled. The zero value is empty.
type Queue struct {
	items items
	seq   uint64
}

// Schedule adds fn to the queue for the given time.
func (q *Queue) Schedule(at time.Duration, fn func()) {
	q.seq++
	heap.Push(&q.items, item{at, q.seq, fn})
}

// NextTime returns the time of the next function, and whether there is one.
func (q *Queue) NextTime() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Pop removes the next function and returns it with its time. The queue must not
// be empty.
func (q *Queue) Pop() (time.Duration, func()) {
	it := heap.Pop(&q.items).(item)
	return it.at, it.fn
}

type item struct {
	at  time.Duration
	seq uint64
	fn  func()
}

type items []item

func (q items) Len() int { return len(q) }
func (q items) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q items) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *items) Push(x any)   { *q = append(*q, x.(item)) }
func (q *items) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
