package proof

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// platformHost is the name of the platform's end of a link.
const platformHost = "platform"

// Times of the platform's services.
const (
	readWait  = 2 * time.Second
	callLimit = 5 * time.Second
	listLag   = 2 * time.Second
	slowest   = 4 * time.Second
)

// store is what befalls the platform's log and its partitions.
type store struct {
	// down and slow hold until when it does not answer, or answers late.
	down, slow time.Duration
	// forgetful is the chance in thousandths that an append's reply is lost.
	forgetful int
}

// log is the platform's append-only log, or a partition of it.
type log struct {
	w *World
	*store
	first   int64
	records []configuration.Numbered
	waiting []func()
}

// anyEnd lets a record be appended wherever the log ends.
const anyEnd = -1

func (l *log) next() int64 { return l.first + int64(len(l.records)) }

// append adds a record if the log ends at the given offset; answer is not
// called when the reply is lost.
func (l *log) append(data []byte, end int64, answer func(offset int64, ok bool)) {
	if l.w.now < l.down {
		return
	}
	l.w.after(l.pace(), func() {
		offset := l.next()
		if end != anyEnd && end != offset {
			answer(0, false)
			return
		}
		l.records = append(l.records, configuration.Numbered{Offset: offset, TimeMillis: l.w.now.Milliseconds(), Data: data})
		waiting := l.waiting
		l.waiting = nil
		for _, wake := range waiting {
			wake()
		}
		if l.w.now >= l.down && !l.w.chance(l.forgetful) {
			answer(offset, true)
		}
	})
}

func (l *log) pace() time.Duration {
	if l.w.now < l.slow {
		return l.w.upTo(slowest)
	}
	return time.Millisecond
}

// read answers with the records from an offset on, and waits for one.
func (l *log) read(from int64, wait time.Duration, answer func(first int64, records []configuration.Numbered)) {
	if l.w.now < l.down {
		return
	}
	reply := func() {
		if l.w.now < l.down {
			return
		}
		start := min(max(from, l.first), l.next())
		answer(l.first, l.records[start-l.first:])
	}
	if from < l.next() {
		l.w.after(l.pace(), reply)
		return
	}
	done := false
	once := func() {
		if !done {
			done = true
			reply()
		}
	}
	l.waiting = append(l.waiting, once)
	l.w.after(wait, once)
}

// publish makes the present hosts of a domain visible in the list, after a lag.
func (w *World) publish(domain string) {
	hosts := append([]scheduler.Host(nil), w.hosts[domain]...)
	w.published[domain]++
	n := w.published[domain]
	w.after(w.between(listLag/2, listLag), func() {
		if n > w.shown[domain] {
			w.shown[domain], w.listed[domain] = n, hosts
		}
	})
}
