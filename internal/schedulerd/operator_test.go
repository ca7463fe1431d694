package schedulerd

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/operator"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// memoryLog is a log that loses replies on order. While it is down it takes
// nothing and answers nothing.
type memoryLog struct {
	mu          sync.Mutex
	records     []configuration.Numbered
	down, lossy bool
}

func (l *memoryLog) set(down, lossy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.lossy = down, lossy
}

// Append implements platform.Log.
func (l *memoryLog) Append(_ context.Context, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errors.New("down")
	}
	l.records = append(l.records, configuration.Numbered{Offset: int64(len(l.records)), Data: data})
	if l.lossy {
		return 0, errors.New("reply lost")
	}
	return int64(len(l.records) - 1), nil
}

// Read implements platform.Log.
func (l *memoryLog) Read(ctx context.Context, from int64, _ int, wait time.Duration) (platform.LogPage, error) {
	for end := time.Now().Add(wait); ; sleep(ctx, 10*time.Millisecond) {
		l.mu.Lock()
		down, page := l.down, platform.LogPage{Next: int64(len(l.records)), Records: l.records[min(int(from), len(l.records)):]}
		l.mu.Unlock()
		if down {
			return platform.LogPage{}, errors.New("down")
		}
		if len(page.Records) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return page, nil
		}
	}
}

// memoryPartition is a partition whose appends need no condition.
type memoryPartition struct{ *memoryLog }

// Append implements platform.Partition.
func (p memoryPartition) Append(ctx context.Context, data []byte, _ int64) (int64, error) {
	return p.memoryLog.Append(ctx, data)
}

// noHosts is an empty list of hosts.
type noHosts struct{}

// List implements platform.Hosts.
func (noHosts) List(context.Context, string) ([]scheduler.Host, error) { return nil, nil }

// counts collects what a daemon counts.
type counts struct {
	mu sync.Mutex
	n  map[string]int64
}

func (c *counts) add(kind, reason string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[kind+" "+reason] += n
}

func (c *counts) of(key string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[key]
}

// withDaemon runs f on a daemon with an empty list of hosts, in virtual time.
// The log is down at first.
func withDaemon(t *testing.T, f func(l *memoryLog, c *counts, exec func(text string) (operator.Result, error))) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		l, c := &memoryLog{down: true}, &counts{n: map[string]int64{}}
		d := New(Options{
			Settings: scheduler.DefaultSettings("h", "1", "d"), Log: l, Tenure: memoryPartition{&memoryLog{}}, Hosts: noHosts{},
			Logger: logrus.WithField("host", "h"), Count: c.add,
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { d.Run(ctx); close(ended) }()
		service := newOperatorService(d)
		f(l, c, func(text string) (operator.Result, error) {
			var res operator.Result
			reply, err := service.Execute(ctx, &control.ExecuteRequest{Text: text, Actor: "ana", ChangeId: "id-" + text})
			if err != nil {
				return res, err
			}
			return res, json.Unmarshal(reply.ResultJson, &res)
		})
		cancel()
		<-ended
	})
}

func TestScriptBeforeTheConfigurationIsKnown(t *testing.T) {
	withDaemon(t, func(l *memoryLog, c *counts, exec func(string) (operator.Result, error)) {
		_, err := exec("declare team crews;")
		var e twirp.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Code()).To(Equal(twirp.Unavailable))
		Expect(c.of("refusal not-ready")).To(BeEquivalentTo(1))
	})
}

func TestLostReplyOfTheLog(t *testing.T) {
	withDaemon(t, func(l *memoryLog, c *counts, exec func(string) (operator.Result, error)) {
		l.set(false, false)
		time.Sleep(5 * time.Second)
		l.set(false, true)
		res, err := exec("declare team crews;")
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Change.State).To(Equal(operator.Accepted))
		Expect(res.Change.Offset).To(BeZero())
		l.set(true, false)
		res, err = exec("declare team labs;")
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Change.State).To(Equal(operator.Unknown))
		l.set(false, false)
		res, err = exec("declare team labs;")
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Change.State).To(Equal(operator.Accepted))
	})
}

func TestMalformedRecordIsCountedAndPassedOver(t *testing.T) {
	withDaemon(t, func(l *memoryLog, c *counts, exec func(string) (operator.Result, error)) {
		l.set(false, false)
		time.Sleep(5 * time.Second)
		_, err := l.Append(context.Background(), []byte(`{"id":"x","ops":[{}]}`))
		Expect(err).NotTo(HaveOccurred())
		res, err := exec("declare team crews; list teams;")
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Change.Offset).To(BeEquivalentTo(1))
		Expect(res.Answers[0].Table.Rows).To(HaveLen(1))
		Expect(c.of("refusal record-malformed")).To(BeEquivalentTo(1))
	})
}
