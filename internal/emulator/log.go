package emulator

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// The log's defaults and bounds.
const (
	// DefaultRetention is how long a partition's history is kept.
	DefaultRetention = 20 * time.Second
	// DefaultAppendTime is how long a partition takes for one append.
	DefaultAppendTime = 2 * time.Millisecond
	// PageRecords bounds the records of a page of the newest.
	PageRecords = 500
	// PageBytes bounds the values of a page of the newest; one record always fits.
	PageBytes = 1 << 20
	// MaxReadWait is the longest wait of a read.
	MaxReadWait = 30 * time.Second
	// MaxAppendQueue is the longest time that appends may wait in line.
	MaxAppendQueue = 2 * time.Second
)

// LogConfig sets a log up. Fields of 0 take their defaults.
type LogConfig struct {
	// Seed drives the faults.
	Seed uint64
	// Retention is how long history is kept, AppendTime how long a partition
	// takes for an append, Latency the time of one way.
	Retention, AppendTime, Latency time.Duration
	// MaxRecordBytes and MaxRequestBytes bound a record and an append; those that are
	// larger are rejected.
	MaxRecordBytes, MaxRequestBytes int
	// BytesPerSecond is how fast a partition writes; 0 is without bound.
	BytesPerSecond int64
	// ReadBytesPerSecond is how fast the answers to all nodes' reads are sent, one
	// after the other; 0 is without bound.
	ReadBytesPerSecond int64
	// ReadsPerSecond and WritesPerSecond bound the calls of all nodes together;
	// those beyond are refused. 0 is without bound.
	ReadsPerSecond, WritesPerSecond float64
}

// LogUsage counts the calls of a node, refused ones included, and the bytes of
// the answers to its reads.
type LogUsage struct {
	Appends, Reads, Pages int
	ReadBytes             int64
}

// Log is the platform's store. Its methods may be called concurrently.
type Log struct {
	cfg LogConfig
	// mu guards all below.
	mu         sync.Mutex
	random     *rand.Rand
	partitions map[store.Partition]*partition
	faults     logFaults
	usage      map[string]LogUsage
	// sent is when the last answer to a read that was begun will have been sent.
	sent          time.Time
	reads, writes *rate.Limiter
}

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	cfg.Retention = orDefault(cfg.Retention, DefaultRetention)
	cfg.AppendTime = orDefault(cfg.AppendTime, DefaultAppendTime)
	cfg.Latency = orDefault(cfg.Latency, DefaultLatency)
	cfg.MaxRecordBytes = orDefault(cfg.MaxRecordBytes, store.DefaultMaxRecordBytes)
	cfg.MaxRequestBytes = orDefault(cfg.MaxRequestBytes, store.DefaultMaxRequestBytes)
	return &Log{
		cfg:        cfg,
		random:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		partitions: map[store.Partition]*partition{},
		faults:     logFaults{},
		usage:      map[string]LogUsage{},
		reads:      callLimiter(cfg.ReadsPerSecond),
		writes:     callLimiter(cfg.WritesPerSecond),
	}
}

// callLimiter returns a limiter of calls a second; 0 is without bound.
func callLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// transfer lines an answer up for sending, and returns how long that takes.
func (l *Log) transfer(node string, size int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage[node]
	u.ReadBytes += int64(size)
	l.usage[node] = u
	if l.cfg.ReadBytesPerSecond <= 0 {
		return 0
	}
	now := time.Now()
	if l.sent.Before(now) {
		l.sent = now
	}
	l.sent = l.sent.Add(time.Duration(float64(size) / float64(l.cfg.ReadBytesPerSecond) * float64(time.Second)))
	return l.sent.Sub(now)
}

// recordOverhead is what an answer holds of a record beside its key and value, in bytes.
const recordOverhead = 40

// answerBytes is about how large an answer with the records is; values are in
// base64 where the platform sends them as text.
func answerBytes(records []store.StoredRecord, text bool) int {
	size := 0
	for _, r := range records {
		value := len(r.Value)
		if text {
			value = base64.StdEncoding.EncodedLen(value)
		}
		size += len(r.Key) + value + recordOverhead
	}
	return size
}

// Client returns the log as a node reaches it.
func (l *Log) Client(node string) store.Store { return &logClient{l, node} }

// Put appends records at once, as the platform's own writers do; no fault and
// no latency applies.
func (l *Log) Put(p store.Partition, records ...store.Record) store.AppendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partition(p).add(time.Now(), records)
}

// DropHistory deletes all records but the newest of each key.
func (l *Log) DropHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.partitions {
		p.history, p.first = nil, p.end
	}
}

// Usage returns what a node has called so far.
func (l *Log) Usage(node string) LogUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage[node]
}

// partition returns a partition with its expired records removed.
func (l *Log) partition(name store.Partition) *partition {
	p := l.partitions[name]
	if p == nil {
		p = newPartition()
		l.partitions[name] = p
	}
	p.expire(time.Now().Add(-l.cfg.Retention))
	return p
}

// logClient is one node's way to the log.
type logClient struct {
	log  *Log
	node string
}

func (c *logClient) count(add func(*LogUsage)) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	u := c.log.usage[c.node]
	add(&u)
	c.log.usage[c.node] = u
}

type appendResult struct {
	appended store.AppendResult
	err      error
}

// maxKeyBytes bounds the key of a record, and recordHeaderBytes is the size of a record beyond
// its key and value.
const (
	maxKeyBytes       = 255
	recordHeaderBytes = 5
)

// admits reports whether the records are within the bounds of an append.
func (cfg *LogConfig) admits(records []store.Record) bool {
	total := 0
	for _, r := range records {
		size := recordHeaderBytes + len(r.Key) + len(r.Value)
		if len(r.Key) > maxKeyBytes || size > cfg.MaxRecordBytes {
			return false
		}
		total += size
	}
	return total <= cfg.MaxRequestBytes
}

// Append implements store.Store.
func (c *logClient) Append(ctx context.Context, name store.Partition, records []store.Record, opt store.AppendOptions) (store.AppendResult, error) {
	c.count(func(u *LogUsage) { u.Appends++ })
	fault := c.log.fault(c.node)
	if fault.refuse || !c.log.writes.Allow() {
		return store.AppendResult{}, store.ErrNotExecuted
	}
	if !c.log.cfg.admits(records) {
		return store.AppendResult{}, store.ErrRejected
	}
	request := &appendRequest{log: c.log, node: c.node, name: name, records: copyRecords(records), opt: copyOptions(opt)}
	latency := fault.scale(c.log.cfg.Latency)
	r, ok := exchange(ctx, latency, func(answer func(appendResult)) {
		request.arrive(func(r appendResult) {
			time.AfterFunc(latency, func() { request.reply(r, answer) })
		})
	})
	if !ok {
		return store.AppendResult{}, store.ErrOutcomeUnknown
	}
	return r.appended, r.err
}

// Read implements store.Store.
func (c *logClient) Read(ctx context.Context, name store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	c.count(func(u *LogUsage) { u.Reads++ })
	var batch store.Batch
	err := c.visit(ctx, func() (int, error) {
		var err error
		batch, err = c.log.poll(ctx, name, from, min(wait, MaxReadWait))
		return answerBytes(batch.Records, false), err
	})
	return batch, err
}

// Newest implements store.Store.
func (c *logClient) Newest(ctx context.Context, name store.Partition, after string) (store.Page, error) {
	c.count(func(u *LogUsage) { u.Pages++ })
	var page store.Page
	err := c.visit(ctx, func() (int, error) {
		c.log.mu.Lock()
		defer c.log.mu.Unlock()
		page = c.log.partition(name).page(after)
		return answerBytes(page.Records, true), nil
	})
	return page, err
}

// visit carries a read, which returns the size of its answer, to the log and
// back; what is lost on the way is store.ErrNotExecuted.
func (c *logClient) visit(ctx context.Context, read func() (int, error)) error {
	fault := c.log.fault(c.node)
	if fault.refuse || !c.log.reads.Allow() {
		return store.ErrNotExecuted
	}
	latency := fault.scale(c.log.cfg.Latency)
	if !pause(ctx, latency) || !c.passes(ctx) {
		return store.ErrNotExecuted
	}
	size, err := read()
	// An answer is sent even when nobody waits for it any more.
	if !pause(ctx, latency+c.log.transfer(c.node, size)) || !c.passes(ctx) || c.log.drawLoss(c.node) {
		return store.ErrNotExecuted
	}
	return err
}

// passes waits for the context's end, and reports false, while the node's way
// is down.
func (c *logClient) passes(ctx context.Context) bool {
	if !c.log.fault(c.node).down {
		return true
	}
	<-ctx.Done()
	return false
}

// poll reads from an offset, and waits for the first record.
func (l *Log) poll(ctx context.Context, name store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for last := wait <= 0; ; {
		l.mu.Lock()
		p := l.partition(name)
		batch, err := p.read(from)
		changed := p.changed
		l.mu.Unlock()
		if err != nil || last || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-ctx.Done():
			return store.Batch{}, store.ErrNotExecuted
		}
	}
}
