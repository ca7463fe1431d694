package logging

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

func newLogger(out io.Writer, settings Settings) (*logrus.Logger, *Writer) {
	l := logrus.New()
	l.SetFormatter(&logrus.JSONFormatter{})
	return l, Install(l, out, settings)
}

func readLines(t *testing.T, r io.Reader) []map[string]any {
	var out []map[string]any
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var m map[string]any
		NewWithT(t).Expect(json.Unmarshal(in.Bytes(), &m)).To(Succeed(), in.Text())
		out = append(out, m)
	}
	return out
}

// A full pipe that nobody reads must not block the code that logs. The dropped
// lines are counted, and a line reports the count once the pipe is read.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	g := NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	var dropped atomic.Int64
	logger, writer := newLogger(w, Settings{OnDrop: func(reason string) {
		if reason == reasonReaderBehind {
			dropped.Add(1)
		}
	}})
	const lines = 20_000
	startedAt := time.Now()
	for i := range lines {
		logger.WithFields(logrus.Fields{"kind": "k", "n": i}).Info("line")
	}
	// Waiting for the reader, even with a timeout, would take far longer.
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", lines*5*time.Millisecond))
	g.Expect(dropped.Load()).To(BeNumerically(">", 0))
	g.Expect(writer.Close(50*time.Millisecond)).To(BeFalse(), "the pipe has not been read")
	read := make(chan []map[string]any)
	go func() { read <- readLines(t, r) }()
	g.Expect(writer.Close(10 * time.Second)).To(BeTrue())
	g.Expect(w.Close()).To(Succeed())
	var written, reported float64
	for _, m := range <-read {
		if m["kind"] == "lines-left-out" {
			reported += m[reasonReaderBehind].(float64)
		} else {
			written++
		}
	}
	g.Expect(written).To(BeNumerically(">", 100))
	g.Expect(reported).To(BeEquivalentTo(dropped.Load()))
	g.Expect(written + reported).To(BeEquivalentTo(lines))
}

// A frequent kind of line must not use up the rate limit of other kinds, and the
// lines dropped over the limit must be reported.
func TestEachKindHasItsOwnRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		logger, writer := newLogger(&out, Settings{LinesPerSecond: 50, FlushDelay: DefaultFlushDelay, Fields: logrus.Fields{"node": "n"}})
		for range 1000 {
			logger.WithField("kind", "frequent").Info("x")
		}
		logger.WithField("kind", "rare").Info("x")
		logger.Info("started")
		time.Sleep(5 * time.Second)
		logger.WithField("kind", "frequent").Info("x")
		time.Sleep(time.Second)
		synctest.Wait()
		counts := map[string]int{}
		for _, m := range readLines(t, bytes.NewReader(out.Bytes())) {
			kind, _ := m["kind"].(string)
			counts[kind]++
			if kind == "lines-left-out" {
				g.Expect(m["over_budget"]).To(Equal(map[string]any{"frequent": 950.0}))
				g.Expect(m["node"]).To(Equal("n"))
			}
		}
		g.Expect(counts).To(Equal(map[string]int{"frequent": 51, "rare": 1, "": 1, "lines-left-out": 1}))
		g.Expect(writer.Close(time.Second)).To(BeTrue())
	})
}

// A warning must be written at once, with the lines before it; other lines wait
// for the flush delay or for Close.
func TestWarningsAreWrittenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		logger, writer := newLogger(&out, Settings{FlushDelay: time.Minute})
		logger.Info("a")
		synctest.Wait()
		g.Expect(out.Len()).To(BeZero())
		logger.Warn("b")
		synctest.Wait()
		g.Expect(strings.Count(out.String(), "\n")).To(Equal(2))
		logger.Info("c")
		g.Expect(writer.Close(time.Second)).To(BeTrue())
		g.Expect(strings.Count(out.String(), "\n")).To(Equal(3))
		logger.Info("too late")
		g.Expect(strings.Count(out.String(), "\n")).To(Equal(3))
	})
}

// recordedWrites records the data of each write.
type recordedWrites [][]byte

func (p *recordedWrites) Write(b []byte) (int, error) {
	*p = append(*p, bytes.Clone(b))
	return len(b), nil
}

// Lines of several processes are interleaved in a shared pipe if a write splits a
// line or exceeds the size of an atomic write. Only a longer line may exceed it.
func TestWritesHoldWholeLines(t *testing.T) {
	g := NewWithT(t)
	var out recordedWrites
	logger, writer := newLogger(&out, Settings{FlushDelay: time.Minute})
	const lines = 300
	for i := range lines {
		text := "x"
		if i == lines/2 {
			text = strings.Repeat("x", 2*pipeAtomicBytes)
		}
		logger.WithField("n", i).Info(text)
	}
	g.Expect(writer.Close(time.Second)).To(BeTrue())
	written := 0
	for _, p := range out {
		n := bytes.Count(p, []byte{'\n'})
		written += n
		g.Expect(bytes.HasSuffix(p, []byte{'\n'})).To(BeTrue())
		g.Expect(len(p) <= pipeAtomicBytes || n == 1).To(BeTrue(), "%d bytes, %d lines", len(p), n)
	}
	g.Expect(written).To(Equal(lines))
	g.Expect(len(out)).To(BeNumerically("<", lines/10))
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("broken") }

// Lines whose write fails must be counted. The newest lines must still be
// available from Recent, within its bound on memory.
func TestFailedWritesAreCounted(t *testing.T) {
	g := NewWithT(t)
	dropped := map[string]int{}
	logger, writer := newLogger(failingWriter{}, Settings{RecentBytes: 2000, OnDrop: func(reason string) { dropped[reason]++ }})
	for i := range 1000 {
		logger.WithField("n", i).Info("x")
	}
	g.Expect(writer.Close(time.Second)).To(BeTrue())
	g.Expect(dropped[reasonWriteFailed]).To(BeNumerically(">=", 1000))
	var out bytes.Buffer
	g.Expect(writer.Recent(&out, func(line []byte) bool { return bytes.Contains(line, []byte(`"n":`)) })).To(Succeed())
	g.Expect(out.Len()).To(And(BeNumerically(">", 2000), BeNumerically("<", 4300)))
	lines := readLines(t, &out)
	g.Expect(lines[len(lines)-1]["n"]).To(BeEquivalentTo(999))
}

// The output must match that of logrus, including escapes, errors and fields whose
// names clash with the built-in ones.
func TestJSONMatchesLogrus(t *testing.T) {
	g := NewWithT(t)
	e := logrus.NewEntry(logrus.New())
	e.Time, e.Message, e.Level = time.Date(2026, 1, 2, 3, 4, 5, 6e6, time.UTC), "a \"b\"\n<é>", logrus.InfoLevel
	e.Data = logrus.Fields{"s": "x\\y\x01", "i": 3, "l": int64(-4), "b": true, "f": 1.5, "error": errors.New("e"), "time": "mine",
		"m": map[string]int64{"k": 2}}
	got, err := jsonFormatter{}.Format(e)
	g.Expect(err).NotTo(HaveOccurred())
	want, err := (&logrus.JSONFormatter{TimestampFormat: timeLayout}).Format(e)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(MatchJSON(want))
}

func BenchmarkLine(b *testing.B) {
	fields := logrus.Fields{"kind": "task-started", "job": "05a57f99264258a1", "task": "05a57f99264258a1.0.0.2", "worker": "i-92d1f8c202", "run": int64(4097), "age_ms": int64(27)}
	for name, perSecond := range map[string]int{"written": 0, "over-budget": 1} {
		b.Run(name, func(b *testing.B) {
			logger, w := newLogger(io.Discard, Settings{LinesPerSecond: perSecond, BufferBytes: 1 << 30, FlushDelay: DefaultFlushDelay})
			log := logger.WithFields(logrus.Fields{"node": "edge-perth-a-1", "domain": "perth-a"})
			for b.Loop() {
				log.WithFields(fields).Info("decision")
			}
			w.Close(time.Second)
		})
	}
}
