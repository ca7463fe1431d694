// Package logging writes log lines without ever blocking the code that logs. Each
// kind of line has its own rate limit, and the buffer of lines that wait for the
// output is bounded. Dropped lines are counted, and a log line reports the counts.
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

// Settings configure a Writer. They can't be changed later.
type Settings struct {
	// LinesPerSecond limits the lines of each kind that are written per second;
	// 0 means no limit.
	LinesPerSecond int
	// BufferBytes limits the size of the lines that wait to be written.
	BufferBytes int
	// FlushDelay is how long a line waits to be written together with others.
	// Warnings and errors are written at once.
	FlushDelay time.Duration
	// RecentBytes is the minimum size of the newest lines that are kept for
	// Recent; 0 means that none are kept.
	RecentBytes int
	// Fields are added to the lines that the writer itself logs.
	Fields logrus.Fields
	// OnDrop, if not nil, is called for each dropped line. It must not log.
	OnDrop func(reason string)
}

// Default values for Settings.
const (
	DefaultLinesPerSecond = 200
	DefaultBufferBytes    = 256 << 10
	DefaultFlushDelay     = 100 * time.Millisecond
)

// Reasons for dropping a line.
const (
	reasonOverBudget   = "over-budget"
	reasonReaderBehind = "reader-behind"
	reasonWriteFailed  = "write-failed"
)

const (
	// pipeAtomicBytes is the maximum size of an atomic write to a pipe (PIPE_BUF).
	// Longer writes of several processes to one pipe may be interleaved.
	pipeAtomicBytes = 4096
	// dropReportInterval is the minimum time between reports of dropped lines.
	dropReportInterval = time.Second
	// maxLimiters limits the number of kinds that have their own rate limiter.
	maxLimiters = 128
	// otherKind is the kind whose limiter all further kinds share.
	otherKind = "other"
	// kindField is the field with the kind of a line. The kind of a line without
	// it is its message.
	kindField = "kind"
)

// Writer is the formatter and the output of a logrus logger. It is safe for
// concurrent use. Only Close waits for the output.
type Writer struct {
	settings Settings
	out      io.Writer
	format   logrus.Formatter

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	// pending holds complete lines. spare is the buffer of the previous batch,
	// kept for reuse.
	pending, spare []byte
	// recent and older hold the newest lines, whether or not they were written.
	// When recent is full, it becomes older.
	recent, older []byte
	closed        bool
	// droppedByKind and droppedByReason count the dropped lines not yet reported.
	droppedByKind   map[string]int64
	droppedByReason map[string]int64
	reportedAt      time.Time

	wake, urgent  chan struct{}
	closing, done chan struct{}
	closeOnce     sync.Once
}

// Install makes a logger write to out through a new Writer. Lines are JSON if the
// logger has a logrus.JSONFormatter, and text otherwise.
func Install(logger *logrus.Logger, out io.Writer, settings Settings) *Writer {
	var format logrus.Formatter = &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeLayout}
	if _, ok := logger.Formatter.(*logrus.JSONFormatter); ok {
		format = jsonFormatter{}
	}
	w := newWriter(out, format, settings)
	logger.SetFormatter(w)
	logger.SetOutput(w)
	return w
}

func newWriter(out io.Writer, format logrus.Formatter, settings Settings) *Writer {
	if settings.BufferBytes == 0 {
		settings.BufferBytes = DefaultBufferBytes
	}
	w := &Writer{settings: settings, out: out, format: format, limiters: map[string]*rate.Limiter{},
		droppedByKind: map[string]int64{}, droppedByReason: map[string]int64{}, reportedAt: time.Now(),
		wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Format implements logrus.Formatter. It returns an empty line if the rate limit
// of the entry's kind is exceeded.
func (w *Writer) Format(e *logrus.Entry) ([]byte, error) {
	if !w.allow(e) {
		return nil, nil
	}
	line, err := w.format.Format(e)
	if err == nil && e.Level <= logrus.WarnLevel {
		signal(w.urgent)
	}
	return line, err
}

// allow reports whether the rate limit of the entry's kind permits another line.
func (w *Writer) allow(e *logrus.Entry) bool {
	if w.settings.LinesPerSecond <= 0 {
		return true
	}
	kind, ok := e.Data[kindField].(string)
	if !ok {
		kind = e.Message
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	limiter := w.limiters[kind]
	if limiter == nil && len(w.limiters) >= maxLimiters {
		kind = otherKind
		limiter = w.limiters[kind]
	}
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(w.settings.LinesPerSecond), w.settings.LinesPerSecond)
		w.limiters[kind] = limiter
	}
	if limiter.AllowN(e.Time, 1) {
		return true
	}
	w.droppedByKind[kind]++
	w.notifyDrop(reasonOverBudget)
	return false
}

// notifyDrop calls OnDrop for a dropped line and wakes the write loop, which
// reports the drop. The caller must hold w.mu.
func (w *Writer) notifyDrop(reason string) {
	if w.settings.OnDrop != nil {
		w.settings.OnDrop(reason)
	}
	signal(w.wake)
}

// Write implements io.Writer. It queues one line, or drops and counts it if the
// buffer is full or the writer is closed. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appendRecent(line)
	if w.closed || len(w.pending)+len(line) > w.settings.BufferBytes {
		w.droppedByReason[reasonReaderBehind]++
		w.notifyDrop(reasonReaderBehind)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	signal(w.wake)
	return len(line), nil
}

// appendRecent keeps a line for Recent. The caller must hold w.mu.
func (w *Writer) appendRecent(line []byte) {
	if w.settings.RecentBytes <= 0 {
		return
	}
	if len(w.recent) >= w.settings.RecentBytes {
		w.recent, w.older = w.older[:0], w.recent
	}
	w.recent = append(w.recent, line...)
}

// Recent writes those of the newest lines for which match returns true to out,
// oldest first.
func (w *Writer) Recent(out io.Writer, match func(line []byte) bool) error {
	w.mu.Lock()
	lines := append(append([]byte(nil), w.older...), w.recent...)
	w.mu.Unlock()
	for line := range bytes.Lines(lines) {
		if !match(line) {
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

// run is the write loop. It ends when the writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	reportTimer := time.NewTimer(dropReportInterval)
	defer reportTimer.Stop()
	for {
		last := false
		select {
		case <-w.wake:
			last = w.waitForMore()
		case <-reportTimer.C:
		case <-w.closing:
			last = true
		}
		batch, unreported := w.takeBatch(last)
		w.write(batch)
		if last {
			return
		}
		if unreported {
			reportTimer.Reset(dropReportInterval)
		}
	}
}

// write writes the batch in chunks of complete lines, each small enough for an
// atomic write to a pipe unless a single line is longer.
func (w *Writer) write(batch []byte) {
	for len(batch) > 0 {
		size := len(batch)
		if size > pipeAtomicBytes {
			size = 1 + bytes.LastIndexByte(batch[:pipeAtomicBytes], '\n')
		}
		if size == 0 { // a single line exceeds pipeAtomicBytes
			size = 1 + bytes.IndexByte(batch, '\n')
		}
		if _, err := w.out.Write(batch[:size]); err != nil {
			w.recordWriteFailure(bytes.Count(batch[:size], []byte{'\n'}))
		}
		batch = batch[size:]
	}
}

// waitForMore waits for further lines until the flush delay has passed or a line
// is urgent. It reports whether the writer is closing.
func (w *Writer) waitForMore() bool {
	t := time.NewTimer(w.settings.FlushDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.urgent:
	case <-w.closing:
		return true
	}
	return false
}

// takeBatch returns the lines to write now, and whether dropped lines are still
// to be reported.
func (w *Writer) takeBatch(last bool) (batch []byte, stillUnreported bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	unreported := len(w.droppedByKind)+len(w.droppedByReason) > 0
	if unreported && (last || time.Since(w.reportedAt) >= dropReportInterval) {
		w.appendDropReport()
		unreported = false
	}
	batch = w.pending
	w.pending, w.spare = w.spare[:0], batch
	w.closed = last
	return batch, unreported
}

// appendDropReport queues a line with the counts of dropped lines, even if the
// buffer is full. The caller must hold w.mu.
func (w *Writer) appendDropReport() {
	now := time.Now()
	e := logrus.NewEntry(nil)
	e.Time, e.Level, e.Message = now, logrus.WarnLevel, "log lines left out"
	e.Data = logrus.Fields{kindField: "lines-left-out", "within_ms": now.Sub(w.reportedAt).Milliseconds()}
	for k, v := range w.settings.Fields {
		e.Data[k] = v
	}
	if len(w.droppedByKind) > 0 {
		e.Data["over_budget"] = w.droppedByKind
	}
	for reason, n := range w.droppedByReason {
		e.Data[reason] = n
	}
	if line, err := w.format.Format(e); err == nil {
		w.pending = append(w.pending, line...)
	}
	w.droppedByKind, w.droppedByReason, w.reportedAt = map[string]int64{}, map[string]int64{}, now
}

// recordWriteFailure counts lines whose write to the output failed.
func (w *Writer) recordWriteFailure(lines int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.droppedByReason[reasonWriteFailed] += int64(lines)
	for range lines {
		w.notifyDrop(reasonWriteFailed)
	}
}

// Close writes the lines that are still queued. It waits for at most the timeout
// and reports whether all lines were processed by then. Later lines are dropped.
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
