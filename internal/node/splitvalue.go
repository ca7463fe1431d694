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

const (
	// recordHeaderBytes is the size of a record beyond its key and value.
	recordHeaderBytes = 8
	// defaultMaxRecordBytes and defaultMaxRequestBytes are the limits of a store whose
	// limits are not known.
	defaultMaxRecordBytes  = 256 << 10
	defaultMaxRequestBytes = 2 << 20
)

// appendLimits are the limits of an append, in bytes.
type appendLimits struct{ record, request int }

func newAppendLimits(s *Settings) appendLimits {
	l := appendLimits{s.MaxRecordBytes, s.MaxRequestBytes}
	if l.record <= 0 {
		l.record = defaultMaxRecordBytes
	}
	if l.request <= 0 {
		l.request = defaultMaxRequestBytes
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

// splitRecord returns the records in which a value is kept, given the maximum size of a
// record.
func splitRecord(r store.Record, maxBytes int) []store.Record {
	if recordBytes(r) <= maxBytes {
		return []store.Record{r}
	}
	size := max(maxBytes-recordBytes(store.Record{Key: partKey(r.Key, len(r.Value))}), 1)
	var out []store.Record
	for part := range slices.Chunk(r.Value, size) {
		out = append(out, store.Record{Key: partKey(r.Key, len(out)), Value: part})
	}
	return append(out, store.Record{Key: r.Key, Value: valueHead{len(out), checksum(r.Value)}.encode()})
}

func splitRecords(records []store.Record, maxBytes int) []store.Record {
	out := make([]store.Record, 0, len(records))
	for _, r := range records {
		out = append(out, splitRecord(r, maxBytes)...)
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
	s := v[r.Key]
	if !isHead {
		if s != nil {
			s.head, s.parts = valueHead{}, nil
		}
		return r, true
	}
	if s == nil {
		s = &splitValue{stored: map[int]bool{}}
		v[r.Key] = s
	}
	s.head, s.offset = head, r.Offset
	return s.whole(r.Key)
}

func (v splitValues) joinPart(key string, i int, value []byte) (store.StoredRecord, bool) {
	s := v[key]
	if len(value) == 0 {
		v.dropPart(key, i)
		return store.StoredRecord{}, false
	}
	if s == nil {
		s = &splitValue{stored: map[int]bool{}}
		v[key] = s
	}
	if s.parts == nil {
		s.parts = map[int][]byte{}
	}
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
	s.parts = nil
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
