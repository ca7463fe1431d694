// Package logging writes log lines without ever holding up who logs them. Each
// kind of line has a budget a second; what waits for the reader of the output is
// bounded; what is left out is counted, and a line tells it.
package logging

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Settings are fixed for a writer's life.
type Settings struct {
	// PerSecond is how many lines of each kind are written a second; 0 is without bound.
	PerSecond int
	// BufferBytes bounds the lines that wait to be written.
	BufferBytes int
	// Linger is how long a line waits to be written together with others.
	// Warnings and errors don't wait.
	Linger time.Duration
	// RecentBytes is how much of the newest lines Recent can return at least; 0 is nothing.
	RecentBytes int
	// Fields are of the lines that the writer adds.
	Fields logrus.Fields
	// Lost, if not nil, is told of each line that is left out. It must not log.
	Lost func(reason string)
}

// The defaults of Settings.
const (
	DefaultPerSecond   = 200
	DefaultBufferBytes = 256 << 10
	DefaultLinger      = 100 * time.Millisecond
)

// The reasons for which a line is left out.
const (
	reasonBudget = "over-budget"
	reasonBehind = "reader-behind"
	reasonFailed = "write-failed"
)

const (
	// atomicWrite is how many bytes a pipe takes in one piece (PIPE_BUF): longer
	// writes of several processes to one pipe may be mixed.
	atomicWrite = 4096
	// tellEvery is how often a line tells what was left out.
	tellEvery = time.Second
	// maxKinds bounds the kinds that have a budget of their own.
	maxKinds = 128
	// otherKind holds all further ones.
	otherKind = "other"
	// kindField is the field that names a line's kind; lines without it are of
	// the kind of their message.
	kindField = "kind"
)

// Writer is the formatter and the output of a logrus logger. It may be used
// concurrently; nothing but Close waits for the output.
type Writer struct {
	set    Settings
	out    io.Writer
	format logrus.Formatter

	mu      sync.Mutex
	budgets map[string]*rate.Limiter
	// pending holds whole lines, spare is the buffer that was written last.
	pending, spare []byte
	// recent and older hold the newest lines, written or not.
	recent, older []byte
	closed        bool
	// overBudget and others hold what no line has told yet.
	overBudget map[string]int64
	others     map[string]int64
	toldAt     time.Time

	wake, urgent  chan struct{}
	closing, done chan struct{}
	closeOnce     sync.Once
}

// Install makes a logger write to out through a new writer, in the form that
// it has been set to.
func Install(logger *logrus.Logger, out io.Writer, set Settings) *Writer {
	var format logrus.Formatter = &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeLayout}
	if _, ok := logger.Formatter.(*logrus.JSONFormatter); ok {
		format = jsonFormatter{}
	}
	w := newWriter(out, format, set)
	logger.SetFormatter(w)
	logger.SetOutput(w)
	return w
}

func newWriter(out io.Writer, format logrus.Formatter, set Settings) *Writer {
	if set.BufferBytes == 0 {
		set.BufferBytes = DefaultBufferBytes
	}
	w := &Writer{set: set, out: out, format: format, budgets: map[string]*rate.Limiter{},
		overBudget: map[string]int64{}, others: map[string]int64{}, toldAt: time.Now(),
		wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Format implements logrus.Formatter. A line over its budget comes to nothing.
func (w *Writer) Format(e *logrus.Entry) ([]byte, error) {
	if !w.admit(e) {
		return nil, nil
	}
	line, err := w.format.Format(e)
	if err == nil && e.Level <= logrus.WarnLevel {
		signal(w.urgent)
	}
	return line, err
}

// admit takes a line out of its kind's budget.
func (w *Writer) admit(e *logrus.Entry) bool {
	if w.set.PerSecond <= 0 {
		return true
	}
	kind, ok := e.Data[kindField].(string)
	if !ok {
		kind = e.Message
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.budgets[kind]
	if b == nil && len(w.budgets) >= maxKinds {
		kind = otherKind
		b = w.budgets[kind]
	}
	if b == nil {
		b = rate.NewLimiter(rate.Limit(w.set.PerSecond), w.set.PerSecond)
		w.budgets[kind] = b
	}
	if b.AllowN(e.Time, 1) {
		return true
	}
	w.overBudget[kind]++
	w.lose(reasonBudget)
	return false
}

// lose counts a line that is left out. The caller holds the lock.
func (w *Writer) lose(reason string) {
	if w.set.Lost != nil {
		w.set.Lost(reason)
	}
	signal(w.wake)
}

// Write implements io.Writer: it takes one line, or counts it as lost when too
// many wait. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keep(line)
	if w.closed || len(w.pending)+len(line) > w.set.BufferBytes {
		w.others[reasonBehind]++
		w.lose(reasonBehind)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	signal(w.wake)
	return len(line), nil
}

// keep remembers a line. The caller holds the lock.
func (w *Writer) keep(line []byte) {
	if w.set.RecentBytes <= 0 {
		return
	}
	if len(w.recent) >= w.set.RecentBytes {
		w.recent, w.older = w.older[:0], w.recent
	}
	w.recent = append(w.recent, line...)
}

// Recent writes the newest lines that are wanted to out.
func (w *Writer) Recent(out io.Writer, wanted func(line []byte) bool) error {
	w.mu.Lock()
	lines := append(append([]byte(nil), w.older...), w.recent...)
	w.mu.Unlock()
	for line := range bytes.Lines(lines) {
		if !wanted(line) {
			continue
		}
		if _, err := out.Write(line); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// run writes what waits until the writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	tell := time.NewTimer(tellEvery)
	defer tell.Stop()
	for {
		last := false
		select {
		case <-w.wake:
			last = w.linger()
		case <-tell.C:
		case <-w.closing:
			last = true
		}
		batch, more := w.take(last)
		w.write(batch)
		if last {
			return
		}
		if more {
			tell.Reset(tellEvery)
		}
	}
}

// write writes whole lines, as many in one piece as a pipe takes undivided.
func (w *Writer) write(batch []byte) {
	for len(batch) > 0 {
		n := len(batch)
		if n > atomicWrite {
			n = 1 + bytes.LastIndexByte(batch[:atomicWrite], '\n')
		}
		if n == 0 { // a line longer than that
			n = 1 + bytes.IndexByte(batch, '\n')
		}
		if _, err := w.out.Write(batch[:n]); err != nil {
			w.failed(bytes.Count(batch[:n], []byte{'\n'}))
		}
		batch = batch[n:]
	}
}

// linger waits for further lines and reports whether the writer is closing.
func (w *Writer) linger() bool {
	t := time.NewTimer(w.set.Linger)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.urgent:
	case <-w.closing:
		return true
	}
	return false
}

// take returns what is to be written now, and whether some loss is still to be told.
func (w *Writer) take(last bool) (batch []byte, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	untold := len(w.overBudget)+len(w.others) > 0
	if untold && (last || time.Since(w.toldAt) >= tellEvery) {
		w.tell()
		untold = false
	}
	batch = w.pending
	w.pending, w.spare = w.spare[:0], batch
	w.closed = last
	return batch, untold
}

// tell adds the line that counts what was left out. It goes over the bound of
// the buffer. The caller holds the lock.
func (w *Writer) tell() {
	now := time.Now()
	e := logrus.NewEntry(nil)
	e.Time, e.Level, e.Message = now, logrus.WarnLevel, "log lines left out"
	e.Data = logrus.Fields{kindField: "lines-left-out", "within_ms": now.Sub(w.toldAt).Milliseconds()}
	for k, v := range w.set.Fields {
		e.Data[k] = v
	}
	if len(w.overBudget) > 0 {
		e.Data["over_budget"] = w.overBudget
	}
	for reason, n := range w.others {
		e.Data[reason] = n
	}
	if line, err := w.format.Format(e); err == nil {
		w.pending = append(w.pending, line...)
	}
	w.overBudget, w.others, w.toldAt = map[string]int64{}, map[string]int64{}, now
}

// failed counts lines that the output did not take.
func (w *Writer) failed(lines int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.others[reasonFailed] += int64(lines)
	for range lines {
		w.lose(reasonFailed)
	}
}

// Close writes what waits, for no longer than the timeout, and reports whether
// all was written. Later lines are lost.
func (w *Writer) Close(timeout time.Duration) bool {
	w.closeOnce.Do(func() { close(w.closing) })
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-w.done:
		return true
	case <-t.C:
		return false
	}
}
