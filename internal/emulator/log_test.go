package emulator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

var jobsPart = store.Partition{Topic: "jobs"}

func rec(key, value string) []store.Record {
	return []store.Record{{Key: key, Value: []byte(value)}}
}

// inBubble runs a test of the log in virtual time.
func inBubble(t *testing.T, test func(g *WithT, ctx context.Context, l *Log)) {
	synctest.Test(t, func(t *testing.T) {
		test(NewWithT(t), t.Context(), NewLog(LogConfig{Seed: 1}))
	})
}

func TestConditionalAppend(t *testing.T) {
	inBubble(t, func(g *WithT, ctx context.Context, l *Log) {
		c := l.Client("a")
		at := int64(0)
		began := time.Now()
		g.Expect(c.Append(ctx, jobsPart, rec("k", "1"), store.AppendOptions{ExpectedEnd: &at})).To(Equal(store.AppendResult{First: 0, End: 1}))
		g.Expect(time.Since(began)).To(Equal(2*DefaultLatency + DefaultAppendTime))
		_, err := c.Append(ctx, jobsPart, rec("k", "2"), store.AppendOptions{ExpectedEnd: &at})
		var conflict *store.ConflictError
		g.Expect(err).To(BeAssignableToTypeOf(conflict))
		g.Expect(err.(*store.ConflictError).End).To(Equal(int64(1)))
	})
}

func TestEpochsAndSequences(t *testing.T) {
	inBubble(t, func(g *WithT, ctx context.Context, l *Log) {
		c := l.Client("a")
		put := func(epoch, seq int64, n int) (store.AppendResult, error) {
			return c.Append(ctx, jobsPart, rec("k", "v")[:n], store.AppendOptions{Producer: &store.Producer{Name: "p", Epoch: epoch, Sequence: seq}})
		}
		for i := range int64(7) {
			g.Expect(put(3, 10+i, 1)).To(Equal(store.AppendResult{First: i, End: i + 1}))
		}
		g.Expect(put(3, 12, 1)).To(Equal(store.AppendResult{First: 2, End: 3}), "a repeat of the last five")
		_, err := put(3, 11, 1)
		g.Expect(err).To(Equal(&store.SequenceError{Expected: 17}), "the sixth last is forgotten")
		_, err = put(3, 18, 1)
		g.Expect(err).To(Equal(&store.SequenceError{Expected: 17}))
		g.Expect(put(4, 0, 0)).To(Equal(store.AppendResult{First: 7, End: 7}), "nothing but the epoch")
		_, err = put(3, 17, 1)
		g.Expect(err).To(MatchError(store.ErrFenced))
		g.Expect(put(4, 99, 1)).To(Equal(store.AppendResult{First: 7, End: 8}), "a new epoch starts anywhere")
	})
}

func TestRefusedConditionLeavesTheProducerAsItWas(t *testing.T) {
	inBubble(t, func(g *WithT, ctx context.Context, l *Log) {
		c, at := l.Client("a"), int64(5)
		p := &store.Producer{Name: "p", Epoch: 1, Sequence: 1}
		_, err := c.Append(ctx, jobsPart, rec("k", "v"), store.AppendOptions{ExpectedEnd: &at, Producer: p})
		g.Expect(err).To(Equal(&store.ConflictError{End: 0}))
		g.Expect(c.Append(ctx, jobsPart, rec("k", "v"), store.AppendOptions{Producer: p})).To(Equal(store.AppendResult{First: 0, End: 1}))
	})
}

func TestHistoryExpiresAndTheNewestStays(t *testing.T) {
	inBubble(t, func(g *WithT, ctx context.Context, l *Log) {
		c := l.Client("a")
		l.Put(jobsPart, store.Record{Key: "a", Value: []byte("1")}, store.Record{Key: "b", Value: []byte("2")}, store.Record{Key: "a"})
		time.Sleep(DefaultRetention / 2)
		l.Put(jobsPart, rec("c", "3")...)
		time.Sleep(DefaultRetention/2 + time.Millisecond)
		_, err := c.Read(ctx, jobsPart, 2, 0)
		g.Expect(err).To(Equal(&store.ExpiredError{First: 3}))
		batch, err := c.Read(ctx, jobsPart, 3, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(batch.Records).To(HaveLen(1))
		l.DropHistory()
		_, err = c.Read(ctx, jobsPart, 3, 0)
		g.Expect(err).To(Equal(&store.ExpiredError{First: 4}))
		all, end, err := store.ReadAll(ctx, c, jobsPart)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(end).To(Equal(int64(4)))
		g.Expect(all).To(HaveLen(2), "b and c; a was dropped")
	})
}

func TestNewestComesInPages(t *testing.T) {
	inBubble(t, func(g *WithT, ctx context.Context, l *Log) {
		for i := range 2*PageRecords + 1 {
			l.Put(jobsPart, rec(fmt.Sprintf("%06d", i), "v")...)
		}
		page, err := l.Client("a").Newest(ctx, jobsPart, "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Records).To(HaveLen(PageRecords))
		g.Expect(page.NextKey).To(Equal("000499"))
		all, _, err := store.ReadAll(ctx, l.Client("a"), jobsPart)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(all).To(HaveLen(2*PageRecords + 1))
		g.Expect(l.Usage("a").Pages).To(Equal(4))
	})
}

func TestLongPollAndLine(t *testing.T) {
	inBubble(t, func(g *WithT, ctx context.Context, l *Log) {
		began := time.Now()
		time.AfterFunc(time.Second, func() { l.Put(jobsPart, rec("k", "v")...) })
		batch, err := l.Client("a").Read(ctx, jobsPart, 0, 5*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(batch.NextOffset).To(Equal(int64(1)))
		g.Expect(time.Since(began)).To(Equal(time.Second + DefaultLatency))
		began = time.Now()
		batch, err = l.Client("a").Read(ctx, jobsPart, 1, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(batch.Records).To(BeEmpty())
		g.Expect(time.Since(began)).To(Equal(time.Second + 2*DefaultLatency))

		l.Slow(500)
		errs := make(chan error, 4)
		for range 4 {
			go func() {
				_, err := l.Client("a").Append(ctx, jobsPart, rec("k", "v"), store.AppendOptions{})
				errs <- err
			}()
		}
		refused := 0
		for range 4 {
			if err := <-errs; err != nil {
				g.Expect(err).To(MatchError(store.ErrNotExecuted))
				refused++
			}
		}
		g.Expect(refused).To(Equal(1), "1 s each: over 2 s were waiting before the last")
	})
}

func TestLogFaults(t *testing.T) {
	inBubble(t, func(g *WithT, ctx context.Context, l *Log) {
		a, b := l.Client("a"), l.Client("b")
		send := func(c store.Store) error {
			short, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_, err := c.Append(short, jobsPart, rec("k", "v"), store.AppendOptions{})
			return err
		}
		end := func() int64 {
			page, err := b.Newest(ctx, jobsPart, "")
			g.Expect(err).NotTo(HaveOccurred())
			return page.End
		}
		l.Down(true, "a")
		g.Expect(send(a)).To(MatchError(store.ErrOutcomeUnknown))
		g.Expect(send(b)).To(Succeed())
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := a.Newest(short, jobsPart, "")
		g.Expect(err).To(MatchError(store.ErrNotExecuted))
		l.Calm()
		l.Down(true)
		g.Expect(send(b)).To(MatchError(store.ErrOutcomeUnknown))
		l.Calm()
		l.Refuse(true)
		began := time.Now()
		g.Expect(send(b)).To(MatchError(store.ErrNotExecuted))
		g.Expect(time.Since(began)).To(BeZero())
		l.Calm()
		g.Expect(end()).To(Equal(int64(1)))
		l.LoseReplies(1, "a")
		g.Expect(send(a)).To(MatchError(store.ErrOutcomeUnknown))
		g.Expect(end()).To(Equal(int64(2)), "done, though unanswered")
	})
}

func TestLateAppendIsDoneIfItsConditionStillHolds(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		inBubble(t, func(g *WithT, ctx context.Context, l *Log) {
			l.LateReplies(1, "a")
			at := int64(0)
			_, err := l.Client("a").Append(ctx, jobsPart, rec("k", "late"), store.AppendOptions{ExpectedEnd: &at})
			g.Expect(err).To(MatchError(store.ErrOutcomeUnknown))
			if overtaken {
				l.Put(jobsPart, rec("k", "first")...)
			}
			time.Sleep(maxLateAppend)
			page, err := l.Client("b").Newest(ctx, jobsPart, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(page.End).To(Equal(int64(1)))
			g.Expect(string(page.Records[0].Value)).To(Equal(map[bool]string{false: "late", true: "first"}[overtaken]))
		})
	}
}

func TestReadsShareOneRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		l := NewLog(LogConfig{Seed: 1, ReadBytesPerSecond: 1 << 20})
		keyed := store.Partition{Topic: "keyed.jobs"}
		l.Put(keyed, store.Record{Key: "k", Value: make([]byte, 3<<18)}) // 1 MiB in base64
		began := time.Now()
		var wg sync.WaitGroup
		for _, node := range []string{"a", "b", "c"} {
			wg.Go(func() {
				_, err := l.Client(node).Newest(ctx, keyed, "")
				g.Expect(err).NotTo(HaveOccurred())
			})
		}
		wg.Wait()
		g.Expect(time.Since(began)).To(BeNumerically("~", 3*time.Second, 50*time.Millisecond))
		g.Expect(l.Usage("a").ReadBytes).To(BeNumerically(">=", 1<<20))
	})
}

func TestCallsBeyondTheRateAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		l := NewLog(LogConfig{Seed: 1, ReadsPerSecond: 2, WritesPerSecond: 1})
		c := l.Client("a")
		read := func() error { _, err := c.Read(ctx, jobsPart, 0, 0); return err }
		write := func() error {
			_, err := c.Append(ctx, jobsPart, rec("k", "v"), store.AppendOptions{})
			return err
		}
		g.Expect([]error{read(), read(), write()}).To(HaveEach(Succeed()))
		g.Expect([]error{read(), write()}).To(HaveEach(MatchError(store.ErrNotExecuted)))
		time.Sleep(2 * time.Second)
		g.Expect([]error{read(), write()}).To(HaveEach(Succeed()))
	})
}
