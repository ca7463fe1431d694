package intake

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

// take reserves memory for a job and applies it, and reports whether it was accepted.
func take(r *JobRoom, id, account string, bytes int64) bool {
	if r.Reserve(id, account, bytes, start) != nil {
		return false
	}
	r.Release(id, true, start)
	r.Change(account, bytes, start)
	r.Applied(id)
	return true
}

// Once large jobs have taken their part, small ones must still be accepted, up to the limit.
func TestLargeJobsAreRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	r := NewJobRoom(1000)
	large := 0
	for take(r, "large", "", 100) {
		large++
	}
	g.Expect(large).To(Equal(5), "the last one is a quarter of what is left, with an eighth kept")
	small := 0
	for take(r, "small", "", 1) {
		small++
	}
	g.Expect(small).To(Equal(373))
	g.Expect(r.Held()).To(BeNumerically("<=", 1000))
}

// An account that takes all it can get must leave the others their parts, also callers
// without an account.
func TestAccountLeavesOthersTheirParts(t *testing.T) {
	g := NewWithT(t)
	r := NewJobRoom(100_000)
	r.SetWeights(map[string]float64{"busy": 7, "calm": 2})
	n := 0
	for take(r, "b", "busy", 10) {
		n++
	}
	g.Expect(10*n).To(BeNumerically("~", 74_375, 100), "the shared half and seven tenths of the other, with an eighth kept")
	for account, part := range map[string]int{"calm": 8750, "": 4375} {
		n = 0
		for take(r, "c", account, 10) {
			n++
		}
		g.Expect(10*n).To(BeNumerically("~", part, 100), "account %q", account)
	}
	g.Expect(r.Held()).To(BeNumerically("<=", 100_000))
}

// Jobs that are being written count as well, once for all writes of a job, until they are in the
// table or it is certain that they are not written.
func TestJobsBeingWrittenCount(t *testing.T) {
	g := NewWithT(t)
	r := NewJobRoom(457)
	g.Expect(r.Reserve("a", "", 100, start)).To(BeNil())
	g.Expect(r.Reserve("a", "", 100, start)).To(BeNil(), "another write of the same job")
	g.Expect(r.Held()).To(Equal(int64(100)))
	g.Expect(r.Reserve("b", "", 100, start).Reason).To(Equal(ReasonJobTableFull))
	r.Release("a", false, start)
	g.Expect(r.Held()).To(Equal(int64(100)))
	r.Release("a", false, start)
	g.Expect(r.Held()).To(BeZero())

	g.Expect(r.Reserve("b", "", 100, start)).To(BeNil())
	r.Release("b", true, start) // without a reply
	g.Expect(r.Reserve("c", "", 100, start.Add(settleTime))).NotTo(BeNil())
	g.Expect(r.Reserve("c", "", 100, start.Add(settleTime+time.Second))).To(BeNil())
	r.Change("", 100, start)
	r.Applied("c")
	r.Release("c", true, start)
	g.Expect(r.Held()).To(Equal(int64(100)))
}

// What all hosts write without the leader must fit into the room that is kept for it, but for
// one small job of each host.
func TestHostsWriteLittleWithoutLeader(t *testing.T) {
	g := NewWithT(t)
	const limit, hosts = 160 << 20, 10
	r := NewJobRoom(limit)
	allowed := func(id string, bytes int64, hosts int) bool {
		g.Expect(r.Reserve(id, "", bytes, start)).To(BeNil())
		return r.AllowUncounted(id, hosts)
	}
	g.Expect(allowed("a", 600<<10, hosts)).To(BeTrue())
	g.Expect(allowed("b", 600<<10, hosts)).To(BeFalse())
	g.Expect(allowed("c", 400<<10, hosts)).To(BeTrue())
	g.Expect(allowed("c", 400<<10, hosts)).To(BeTrue(), "the same job")
	r.Applied("a")
	g.Expect(r.AllowUncounted("b", hosts)).To(BeTrue())
	g.Expect(r.AllowUncounted("another kind of record", hosts)).To(BeTrue())
	r.Applied("b")
	r.Applied("c")
	g.Expect(allowed("one", 30<<20, 1)).To(BeTrue(), "a single job of a single host")
	r.Applied("one")
	g.Expect(allowed("d", smallJob, 1<<20)).To(BeTrue())
	g.Expect(allowed("e", 1, 1<<20)).To(BeFalse())
}

// Refused callers are told to return when there will be room at the rate at which memory was
// freed lately, and late if none was.
func TestRetryAfterFollowsFreedMemory(t *testing.T) {
	g := NewWithT(t)
	r := NewJobRoom(1143) // 1001 without what is kept
	r.Change("", 1000, start)
	g.Expect(r.Reserve("a", "", 50, start).RetryAfter).To(Equal(maxRetryAfter))
	r.Change("", -200, start)
	r.Change("", 200, start)
	// 200 bytes in the last 10 s, and the job needs 199.
	g.Expect(r.Reserve("a", "", 50, start).RetryAfter).To(BeNumerically("~", freedWindow, time.Second))
	r.Change("", -1000, start)
	r.Change("", 1000, start)
	g.Expect(r.Reserve("a", "", 1, start).RetryAfter).To(Equal(minRetryAfter))
	g.Expect(r.Reserve("a", "", 50, start.Add(time.Hour)).RetryAfter).To(Equal(maxRetryAfter))
}

// Without a limit, everything is accepted.
func TestNoLimit(t *testing.T) {
	r := NewJobRoom(0)
	if !take(r, "a", "x", 1<<40) || !r.AllowUncounted("a", 100) {
		t.Fatal("there is no limit")
	}
}
