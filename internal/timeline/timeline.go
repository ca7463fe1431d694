// Package timeline orders what is to happen in virtual time.
package timeline

import (
	"container/heap"
	"time"
)

// Queue holds what is to happen. Things of one time happen in the order in
// which they were added. The zero value is empty.
type Queue struct {
	items items
	seq   uint64
}

// Add has do happen at the given time.
func (q *Queue) Add(at time.Duration, do func()) {
	q.seq++
	heap.Push(&q.items, item{at, q.seq, do})
}

// First returns the time of the next thing to happen, and whether there is one.
func (q *Queue) First() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Next takes the next thing to happen out of the queue, which must not be empty.
func (q *Queue) Next() (time.Duration, func()) {
	it := heap.Pop(&q.items).(item)
	return it.at, it.do
}

type item struct {
	at  time.Duration
	seq uint64
	do  func()
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
