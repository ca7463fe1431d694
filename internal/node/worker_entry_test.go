package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// newListingNode returns a leading node that decodes a record to the entry of its key in infos.
func newListingNode(infos map[string]worker.Info) (n *Node, unreadable *int, logged *logtest.Hook) {
	log, hook := logtest.NewNullLogger()
	unreadable = new(int)
	return &Node{log: log, term: &term{workersByID: map[string]worker.Info{}}, deps: Dependencies{
		Count: func(string, string) { *unreadable++ },
		Feeds: Feeds{DecodeWorker: func(r store.Record) (worker.Info, error) {
			if string(r.Value) == "odd" {
				return worker.Info{}, errors.New("no address")
			}
			return infos[r.Key], nil
		}},
	}}, unreadable, hook
}

// An entry that can't be read left no trace in the log, and must not leave one at each read.
func TestUnreadableWorkerEntryIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	n, unreadable, logged := newListingNode(map[string]worker.Info{"w1": {ID: "w1"}, "w2": {ID: "w2"}})
	for _, tc := range []struct {
		value           string
		full            bool
		unreadable, log int
		listed          int
	}{
		{"odd", true, 1, 1, 1}, {"odd", false, 2, 1, 1}, {"odd", true, 3, 1, 1}, {"good", false, 3, 1, 2},
		{"odd", false, 4, 2, 2}, {"", false, 4, 2, 1}, {"odd", false, 5, 3, 1},
	} {
		n.handleWorkersRead(readResult{full: tc.full, records: []store.StoredRecord{
			{Record: store.Record{Key: "w1", Value: []byte(tc.value)}}, {Record: store.Record{Key: "w2", Value: []byte("good")}},
		}}, nil)
		g.Expect([]int{*unreadable, len(logged.Entries), len(n.term.workersByID)}).To(Equal([]int{tc.unreadable, tc.log, tc.listed}), "%+v", tc)
	}
}

// A start time that can't be true made the worker's own answers look like those of an earlier incarnation.
func TestImpossibleStartTimeCountsAsNotReported(t *testing.T) {
	now := time.Now()
	for born, want := range map[int64]int64{
		-1: 0, 1 << 53: 0, now.Add(2 * maxBornAhead).UnixMilli(): 0, 17: 17, now.Add(time.Second).UnixMilli(): now.Add(time.Second).UnixMilli(),
	} {
		n, _, _ := newListingNode(map[string]worker.Info{"w1": {ID: "w1", Born: born}})
		n.handleWorkersRead(readResult{full: true, records: []store.StoredRecord{{Record: store.Record{Key: "w1", Value: []byte("good")}}}}, nil)
		NewWithT(t).Expect(n.term.workersByID["w1"].Born).To(Equal(want), "%d", born)
	}
}
