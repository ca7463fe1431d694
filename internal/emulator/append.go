package emulator

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// The delay of an append that is carried out late.
const (
	minLateAppend = time.Second
	maxLateAppend = 6 * time.Second
)

// appendRequest is an append on its way through the log.
type appendRequest struct {
	log     *Log
	node    string
	name    store.Partition
	records []store.Record
	opt     store.AppendOptions
}

// arrive takes the request in: it gets lost, is put off, or lines up.
func (r *appendRequest) arrive(answer func(appendResult)) {
	l := r.log
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := l.faults.of(r.node)
	switch {
	case fault.down:
	case l.random.Float64() < fault.late:
		delay := minLateAppend + time.Duration(l.random.Int64N(int64(maxLateAppend-minLateAppend)))
		time.AfterFunc(delay, func() { r.apply() })
		answer(appendResult{err: store.ErrOutcomeUnknown})
	default:
		r.queue(fault, answer)
	}
}

// queue lets the request wait for its turn at the partition.
func (r *appendRequest) queue(fault logFault, answer func(appendResult)) {
	now := time.Now()
	p := r.log.partition(r.name)
	if p.free.Before(now) {
		p.free = now
	}
	if p.free.Sub(now) > MaxAppendQueue {
		answer(appendResult{err: store.ErrNotExecuted})
		return
	}
	p.free = p.free.Add(fault.scale(r.serviceTime()))
	time.AfterFunc(p.free.Sub(now), func() { answer(r.apply()) })
}

func (r *appendRequest) serviceTime() time.Duration {
	rate := r.log.cfg.BytesPerSecond
	if rate <= 0 {
		return r.log.cfg.AppendTime
	}
	size := 0
	for _, record := range r.records {
		size += len(record.Key) + len(record.Value)
	}
	return r.log.cfg.AppendTime + time.Duration(float64(size)/float64(rate)*float64(time.Second))
}

func (r *appendRequest) apply() appendResult {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	appended, err := r.log.partition(r.name).conditional(time.Now(), r.records, r.opt)
	return appendResult{appended, err}
}

// reply hands the answer over, unless it gets lost.
func (r *appendRequest) reply(result appendResult, answer func(appendResult)) {
	switch {
	case r.log.fault(r.node).down:
	case r.log.drawLoss(r.node):
		answer(appendResult{err: store.ErrOutcomeUnknown})
	default:
		answer(result)
	}
}
