package node

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// A value that is too large for one record is kept in several: its parts, under keys of
// their own, and a head under its own key. They are appended together, the parts first.
// The head has a checksum of the value, since a reader may see parts that are newer than
// the head. Versions of this program that don't know heads can't decode them and pass
// over parts.

// partKeyPrefix begins the key of a part: its number and the key of the value follow.
const partKeyPrefix = "x/"

// recordHeaderBytes is the size of a record beyond its key and value.
const recordHeaderBytes = 8

// appendLimits are the limits of an append, in bytes.
type appendLimits struct{ record, request int }

func newAppendLimits(s *Settings) appendLimits {
	l := appendLimits{s.MaxRecordBytes, s.MaxRequestBytes}
	if l.record <= 0 {
		l.record = store.DefaultMaxRecordBytes
	}
	if l.request <= 0 {
		l.request = store.DefaultMaxRequestBytes
	}
	return l
}

// maxValueBytes is the size of the largest value that can be kept. Its parts, their keys and
// other records share a request.
func (l appendLimits) maxValueBytes() int { return l.request / 2 }

func partKey(key string, i int) string { return partKeyPrefix + strconv.Itoa(i) + "/" + key }

// parsePartKey returns the key of the value and the number of the part.
func parsePartKey(k string) (key string, i int, ok bool) {
	rest, ok := strings.CutPrefix(k, partKeyPrefix)
	if !ok {
		return "", 0, false
	}
	number, key, ok := strings.Cut(rest, "/")
	i, err := strconv.Atoi(number)
	return key, i, ok && err == nil && i >= 0
}

// valueHead describes a value that is kept in parts. Its encoding is a JSON array; no whole
// value is one.
type valueHead struct {
	parts int
	sum   string
}

func (h valueHead) encode() []byte { return fmt.Appendf(nil, "[%d,%q]", h.parts, h.sum) }

func decodeHead(value []byte) (valueHead, bool) {
	var fields []json.RawMessage
	var h valueHead
	if len(value) == 0 || value[0] != '[' || json.Unmarshal(value, &fields) != nil || len(fields) != 2 {
		return h, false
	}
	ok := json.Unmarshal(fields[0], &h.parts) == nil && json.Unmarshal(fields[1], &h.sum) == nil
	return h, ok && h.parts > 0
}

func checksum(value []byte) string {
	sum := fnv.New128a()
	_, _ = sum.Write(value) // never fails
	return fmt.Sprintf("%x", sum.Sum(nil))
}

// recordBytes is the size of a record in an append.
func recordBytes(r store.Record) int { return recordHeaderBytes + len(r.Key) + len(r.Value) }

func totalBytes(records []store.Record) int {
	n := 0
	for _, r := range records {
		n += recordBytes(r)
	}
	return n
}

// maxHeadBytes bounds the size of an encoded head.
const maxHeadBytes = 64

// partBytes is the size of the parts of a value, given the maximum size of a record.
func partBytes(r store.Record, maxBytes int) int {
	return max(maxBytes-recordBytes(store.Record{Key: partKey(r.Key, len(r.Value))}), 1)
}

// partCount returns the number of parts in which a value is kept, 0 if it fits into one
// record.
func partCount(r store.Record, maxBytes int) int {
	if recordBytes(r) <= maxBytes {
		return 0
	}
	size := partBytes(r, maxBytes)
	return (len(r.Value) + size - 1) / size
}

// maxStoredBytes bounds the size of the records in which a value is kept.
func maxStoredBytes(r store.Record, maxBytes int) int {
	parts := partCount(r, maxBytes)
	if parts == 0 {
		return recordBytes(r)
	}
	return recordBytes(r) + maxHeadBytes + parts*recordBytes(store.Record{Key: partKey(r.Key, parts)})
}

// splitRecords returns the records in which values are kept, given the maximum size of a
// record.
func splitRecords(records []store.Record, maxBytes int) []store.Record {
	tooLarge := func(r store.Record) bool { return partCount(r, maxBytes) > 0 }
	if !slices.ContainsFunc(records, tooLarge) {
		return records
	}
	out := make([]store.Record, 0, len(records))
	for _, r := range records {
		if !tooLarge(r) {
			out = append(out, r)
			continue
		}
		parts := 0
		for part := range slices.Chunk(r.Value, partBytes(r, maxBytes)) {
			out = append(out, store.Record{Key: partKey(r.Key, parts), Value: part})
			parts++
		}
		out = append(out, store.Record{Key: r.Key, Value: valueHead{parts, checksum(r.Value)}.encode()})
	}
	return out
}

// splitValues holds, by key, the values of which the log has parts.
type splitValues map[string]*splitValue

// splitValue is what has been read of a value. It is removed when the log has no part of it
// any more.
type splitValue struct {
	// head is the newest head, and offset its offset. It has no parts once a whole value
	// has taken its place.
	head   valueHead
	offset int64
	// parts holds those that were read since the value was last joined.
	parts map[int][]byte
	// stored holds the numbers of the parts in the log.
	stored map[int]bool
}

// join applies a record. It returns the record that results for the key of a value, and
// false while parts of it are missing.
func (v splitValues) join(r store.StoredRecord) (store.StoredRecord, bool) {
	if key, i, ok := parsePartKey(r.Key); ok {
		return v.joinPart(key, i, r.Value)
	}
	head, isHead := decodeHead(r.Value)
	if !isHead {
		if s := v[r.Key]; s != nil {
			s.head, s.parts = valueHead{}, map[int][]byte{}
		}
		return r, true
	}
	s := v.ensure(r.Key)
	s.head, s.offset = head, r.Offset
	return s.whole(r.Key)
}

func (v splitValues) ensure(key string) *splitValue {
	s := v[key]
	if s == nil {
		s = &splitValue{parts: map[int][]byte{}, stored: map[int]bool{}}
		v[key] = s
	}
	return s
}

func (v splitValues) joinPart(key string, i int, value []byte) (store.StoredRecord, bool) {
	if len(value) == 0 {
		v.dropPart(key, i)
		return store.StoredRecord{}, false
	}
	s := v.ensure(key)
	s.stored[i], s.parts[i] = true, slices.Clone(value)
	return s.whole(key)
}

// dropPart notes that the log has no such part any more.
func (v splitValues) dropPart(key string, i int) {
	s := v[key]
	if s == nil {
		return
	}
	delete(s.stored, i)
	delete(s.parts, i)
	if len(s.stored) == 0 {
		delete(v, key)
	}
}

// whole returns the value if its head and all its parts have been read.
func (s *splitValue) whole(key string) (store.StoredRecord, bool) {
	if s.head.parts == 0 || len(s.parts) < s.head.parts {
		return store.StoredRecord{}, false
	}
	var value []byte
	for i := range s.head.parts {
		part, ok := s.parts[i]
		if !ok {
			return store.StoredRecord{}, false
		}
		value = append(value, part...)
	}
	if checksum(value) != s.head.sum {
		return store.StoredRecord{}, false
	}
	clear(s.parts)
	return store.StoredRecord{Offset: s.offset, Record: store.Record{Key: key, Value: value}}, true
}

// prune removes the parts that the log has dropped.
func (v splitValues) prune(dropped func(key string) bool) {
	for key, s := range v {
		for i := range s.stored {
			if dropped(partKey(key, i)) {
				v.dropPart(key, i)
			}
		}
	}
}

// surplus returns the keys of the parts in the log that a value of the given number of parts
// doesn't have, in order.
func (v splitValues) surplus(key string, parts int) []string {
	s := v[key]
	if s == nil {
		return nil
	}
	var numbers []int
	for i := range s.stored {
		if i >= parts {
			numbers = append(numbers, i)
		}
	}
	slices.Sort(numbers)
	keys := make([]string, len(numbers))
	for n, i := range numbers {
		keys[n] = partKey(key, i)
	}
	return keys
}
