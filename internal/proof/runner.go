package proof

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/checker"
)

// runner is a running task of a service as entries see it.
type runner struct {
	m       *machine
	address string
	// open holds how to cut off each request in flight.
	open map[uint64]openRequest
	next uint64
}

type openRequest struct {
	request checker.Request
	cut     func()
}

// Chances and times of a runner.
const (
	refusePerMille = 20
	slowPerMille   = 10
	quickRun       = 300 * time.Millisecond
	slowRun        = 20 * time.Second
)

// serve takes one request: it refuses it at once, or runs it and answers, or
// is cut off when the task ends.
func (r *runner) serve(q checker.Request, refused, answered, cut func()) {
	w := r.m.w
	if w.chance(refusePerMille) {
		refused()
		return
	}
	r.next++
	n := r.next
	r.open[n] = openRequest{q, cut}
	w.Requests.Ran(w.now, r.address, q)
	w.Tasks.Served(w.now, r.m.Name, r.address)
	last := quickRun
	if w.chance(slowPerMille) {
		last = slowRun
	}
	w.after(w.upTo(last), func() {
		if _, ok := r.open[n]; ok {
			delete(r.open, n)
			answered()
		}
	})
}

// stopped tells that the runner's task is ended by an order.
func (r *runner) stopped() {
	for _, n := range slices.Sorted(maps.Keys(r.open)) {
		r.m.w.Requests.CutOff(r.m.w.now, r.address, r.open[n].request)
	}
}

// close ends the runner with its task.
func (r *runner) close() {
	delete(r.m.w.runners, r.address)
	for _, n := range slices.Sorted(maps.Keys(r.open)) {
		r.open[n].cut()
	}
	clear(r.open)
}
