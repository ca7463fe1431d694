package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/emulator"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// serviceID is the job of the long-running tasks that the tests of successions run.
const serviceID = "0000000000000a45"

// runSuccession starts nodes a, b and c and a job of six long-running tasks, one on each
// worker of the pool, and runs the scenario.
func runSuccession(t *testing.T, scenario func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, singleSeedOptions)
		defer c.close()
		for _, name := range []string{"a", "b", "c"} {
			c.startNode(name)
		}
		time.Sleep(3 * time.Second)
		service := singleTaskJob(serviceID)
		service.Steps[0].Count, service.Steps[0].MaxPerWorker, service.Steps[0].LongRunning = 6, 1, true
		c.Expect(c.submit(service, "plain").accepted).To(BeTrue())
		c.awaitService(5 * time.Second)
		scenario(c)
		c.Expect(c.violations()).To(BeEmpty())
	})
}

// changeLeader shuts the leader down as planned, and starts its node again.
func (c *cluster) changeLeader() {
	p := c.leader()
	c.leave(p)
	c.startNode(p.name)
}

// awaitService waits until all tasks of the service run, for d at most.
func (c *cluster) awaitService(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && len(c.fleet.Idle(serviceID)) > 0; {
		time.Sleep(100 * time.Millisecond)
	}
	c.Expect(c.fleet.Idle(serviceID)).To(BeEmpty())
}

// idleAfter waits for d and returns how many tasks of the service don't run then.
func (c *cluster) idleAfter(d time.Duration) int {
	time.Sleep(d)
	return len(c.fleet.Idle(serviceID))
}

// After a planned replacement of all workers, a worker is lost for good and the leader
// changes. The task of that worker has to be started again (issue 45, review/6).
func TestLostTaskRestartsAfterWorkersWereReplaced(t *testing.T) {
	runSuccession(t, func(c *cluster) {
		for i := 1; i <= 6; i++ {
			id := fmt.Sprint("n", i)
			c.fleet.Add(emulator.WorkerConfig{ID: id, Machine: "host-" + id, Pool: "cpu", Labels: []string{"std", "r4"}, Capacity: workflow.Size{MilliCPU: 4000, MemoryMiB: 8192}})
			c.fleet.Drain(fmt.Sprint("w", i), 2600*time.Millisecond)
			time.Sleep(600 * time.Millisecond)
		}
		time.Sleep(7 * time.Second)
		c.awaitService(10 * time.Second)
		c.changeLeader()
		time.Sleep(5 * time.Second)
		c.fleet.Cut("n1")
		c.fleet.Unlist("n1", true)
		time.Sleep(4 * time.Second)
		c.changeLeader()
		c.Expect(c.idleAfter(15*time.Second)).To(Equal(1), "five workers are left, one task each")
		c.fleet.Add(emulator.WorkerConfig{ID: "n7", Machine: "host-n7", Pool: "cpu", Labels: []string{"std", "r4"}, Capacity: workflow.Size{MilliCPU: 4000, MemoryMiB: 8192}})
		c.Expect(c.idleAfter(3 * time.Second)).To(BeZero())
	})
}

// A worker is lost just before the leader changes, so that its loss isn't recorded, and the
// leader changes again within the bound on former leases. The wait must not begin anew
// (issue 45, review/7), also if all processes have started since.
func TestLostTaskRestartsDespiteChangesOfLeader(t *testing.T) {
	runSuccession(t, func(c *cluster) {
		c.fleet.Add(emulator.WorkerConfig{ID: "n7", Machine: "host-n7", Pool: "cpu", Labels: []string{"std", "r4"}, Capacity: workflow.Size{MilliCPU: 4000, MemoryMiB: 8192}})
		time.Sleep(2 * time.Second)
		lostAt := time.Now()
		c.fleet.Cut("w1")
		c.fleet.Unlist("w1", true)
		time.Sleep(500 * time.Millisecond)
		for time.Since(lostAt) < 11*time.Second {
			c.changeLeader()
			time.Sleep(time.Second)
		}
		c.Expect(c.idleAfter(time.Until(lostAt.Add(16 * time.Second)))).To(BeZero())
	})
}

func putTerm(g *WithT, offset, token int64, records bool) store.StoredRecord {
	value, err := json.Marshal(termRecord{Token: token, RecordsSuccession: records})
	g.Expect(err).NotTo(HaveOccurred())
	return store.StoredRecord{Offset: offset, Record: store.Record{Key: termKey, Value: value}}
}

func putSuccession(g *WithT, offset int64, rec dispatch.Succession) store.StoredRecord {
	value, err := json.Marshal(rec)
	g.Expect(err).NotTo(HaveOccurred())
	return store.StoredRecord{Offset: offset, Record: store.Record{Key: successionKey, Value: value}}
}

// Only the record of the leader just before tells which workers that one has not reached.
func TestLastLeaderOfWorker(t *testing.T) {
	g, table := NewWithT(t), newJobTable()
	unreached := map[string]int64{"w1": 7}
	table.apply([]store.StoredRecord{putTerm(g, 1, 10, true), putSuccession(g, 2, dispatch.Succession{Token: 10, Unreached: unreached}), putTerm(g, 3, 20, true)}, 4)
	g.Expect(table.succession.lastLeader("w1")).To(BeEquivalentTo(7))
	g.Expect(table.succession.lastLeader("w2")).To(BeEquivalentTo(10))
	table.apply([]store.StoredRecord{putTerm(g, 4, 30, false)}, 5)
	g.Expect(table.succession.lastLeader("w1")).To(BeEquivalentTo(20), "leader 20 has recorded nothing")
	table.apply([]store.StoredRecord{putTerm(g, 5, 40, true)}, 6)
	g.Expect(table.succession.lastLeader("w1")).To(BeEquivalentTo(30), "a version that records nothing")
	newest := []store.StoredRecord{putTerm(g, 9, 60, true), putSuccession(g, 8, dispatch.Succession{Token: 50, Unreached: unreached})}
	table.prune(newest, 10)
	table.apply(newest, 10)
	g.Expect(table.succession.lastLeader("w1")).To(BeEquivalentTo(59), "terms may have been missed")
}

// A node must not rely on records of the succession if a leader of a version that doesn't
// write them may have come in between.
func TestLegacyLeadersAreNoticed(t *testing.T) {
	read := func(table *jobTable, full bool, records ...store.StoredRecord) {
		if full {
			table.prune(records, 100)
		}
		table.apply(records, 100)
	}
	t.Run("in the part of the log that is read", func(t *testing.T) {
		g, table := NewWithT(t), newJobTable()
		read(table, false, putTerm(g, 1, 10, true))
		g.Expect(table.legacyToken()).To(BeZero())
		read(table, false, putTerm(g, 2, 20, false), putTerm(g, 3, 30, true))
		g.Expect(table.legacyToken()).To(BeEquivalentTo(20))
	})
	t.Run("before the newest records", func(t *testing.T) {
		g, table := NewWithT(t), newJobTable()
		read(table, true, putTerm(g, 2, 20, true), putSuccession(g, 1, dispatch.Succession{Token: 10, LegacyToken: 3}))
		g.Expect(table.legacyToken()).To(BeEquivalentTo(19), "leaders 10 to 20 are unknown")
		read(table, false, putSuccession(g, 3, dispatch.Succession{Token: 20, LegacyToken: 3}))
		g.Expect(table.legacyToken()).To(BeEquivalentTo(3))
	})
	t.Run("in the pages of another node", func(t *testing.T) {
		g, served, table := NewWithT(t), newJobTable(), newJobTable()
		read(served, false, putTerm(g, 2, 20, true), putSuccession(g, 3, dispatch.Succession{Token: 20, LegacyToken: 3}))
		keys, _, _ := served.recordKeys()
		page, err := served.buildPage(keys, "")
		g.Expect(err).NotTo(HaveOccurred())
		read(table, true, page.Records...)
		g.Expect(table.legacyToken()).To(BeEquivalentTo(3), "as the leader has recorded")
	})
	t.Run("while the log was not read", func(t *testing.T) {
		g, table := NewWithT(t), newJobTable()
		read(table, false, putTerm(g, 1, 10, true))
		read(table, true, putTerm(g, 1, 10, true))
		read(table, false, putTerm(g, 2, 20, true))
		g.Expect(table.legacyToken()).To(BeZero(), "no term was missed")
		read(table, true, putTerm(g, 5, 50, true))
		g.Expect(table.legacyToken()).To(BeEquivalentTo(49))
	})
}
