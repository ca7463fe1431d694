package node

import (
	"runtime"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// recordsFrom returns records with the offsets from from up to, but not including,
// to.
func recordsFrom(from, to int64) []store.StoredRecord {
	var out []store.StoredRecord
	for o := from; o < to; o++ {
		out = append(out, store.StoredRecord{Offset: o, Record: store.Record{Key: strconv.FormatInt(o, 10)}})
	}
	return out
}

// TestLogTailHasNoGaps guards against missing or misplaced records: after each add,
// also when the older half was just discarded, the tail must return every record of
// its newest half, and refuse offsets that it no longer holds.
func TestLogTailHasNoGaps(t *testing.T) {
	RegisterTestingT(t)
	c := newLogTail()
	for o := int64(100); o < 100+5*maxTailRecords; o += 3 {
		c.add(readResult{records: recordsFrom(o, o+3), nextOffset: o + 3})
		end := o + 3
		Expect(len(c.records)).To(BeNumerically("<=", maxTailRecords))
		covered := max(int64(100), end-maxTailRecords/2)
		got, _, ok := c.from(covered)
		Expect(ok).To(BeTrue())
		Expect(got.Records).To(HaveLen(int(end - covered)))
		for i, r := range got.Records {
			if r.Offset != covered+int64(i) {
				t.Fatalf("record %d of the records from offset %d on has offset %d", i, covered, r.Offset)
			}
		}
	}
	_, _, ok := c.from(100)
	Expect(ok).To(BeFalse())
}

// TestLogTailDoesNotCopyPerRecord guards against copying the whole tail for each
// record added to a full one. It bounds the bytes allocated per record.
func TestLogTailDoesNotCopyPerRecord(t *testing.T) {
	RegisterTestingT(t)
	c := newLogTail()
	next := int64(0)
	add := func() {
		c.add(readResult{records: recordsFrom(next, next+1), nextOffset: next + 1})
		next++
	}
	for range 2 * maxTailRecords {
		add()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range maxTailRecords {
		add()
	}
	runtime.ReadMemStats(&after)
	Expect((after.TotalAlloc - before.TotalAlloc) / maxTailRecords).To(BeNumerically("<", 1024))
}

// TestLogTailIsBoundedInBytes guards against a few large records that take the memory.
func TestLogTailIsBoundedInBytes(t *testing.T) {
	g := NewWithT(t)
	c := newLogTail()
	c.maxBytes = 1000
	for o := range int64(50) {
		c.add(readResult{records: []store.StoredRecord{{Offset: o, Record: store.Record{Key: "k", Value: make([]byte, 199)}}}, nextOffset: o + 1})
		g.Expect(c.bytes).To(And(BeNumerically("<=", 1000), Equal(200*len(c.records))))
		b, _, ok := c.from(c.firstOffset)
		g.Expect(ok).To(BeTrue())
		g.Expect(b.Records).To(HaveLen(int(o + 1 - c.firstOffset)))
		g.Expect(b.NextOffset).To(Equal(o + 1))
	}
	c.add(readResult{records: []store.StoredRecord{{Offset: 50, Record: store.Record{Value: make([]byte, 5000)}}}, nextOffset: 51})
	g.Expect(c.bytes).To(BeZero(), "a record larger than the bound is read from the store")
	_, _, ok := c.from(50)
	g.Expect(ok).To(BeFalse())
}
