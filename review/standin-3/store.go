package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// logRecord is one record of a partition.
type logRecord struct {
	key   string
	value []byte
	// raw is the record as it was sent, without its four bytes of length.
	raw    []byte
	offset int64
}

// producerState is what a partition knows of a producer.
type producerState struct {
	epoch, last int64
	fresh       bool
	recent      []producerAppend
}

type producerAppend struct{ sequence, first, end int64 }

type partition struct {
	keyed     bool
	records   []logRecord
	newest    map[string]logRecord
	producers map[string]*producerState
	changed   chan struct{}
}

// Store is a stand-in for the platform's metadata store: a log in partitions.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	// fault, if not nil, may handle a call in place of the store. It returns whether it did.
	fault func(w http.ResponseWriter, r *http.Request, serve func()) bool
}

func newStore() *Store { return &Store{partitions: map[string]*partition{}} }

func (s *Store) partition(name string) *partition {
	p := s.partitions[name]
	if p == nil {
		p = &partition{keyed: len(name) > 6 && name[:6] == "keyed.", newest: map[string]logRecord{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

// add appends raw records. The lock must be held.
func (p *partition) add(raws [][]byte) (first, end int64) {
	first = int64(len(p.records))
	for _, raw := range raws {
		r := logRecord{raw: raw, offset: int64(len(p.records))}
		if p.keyed && len(raw) > 0 && len(raw) >= 1+int(raw[0]) {
			r.key, r.value = string(raw[1:1+int(raw[0])]), raw[1+int(raw[0]):]
			if len(r.value) == 0 {
				delete(p.newest, r.key)
			} else {
				p.newest[r.key] = r
			}
		}
		p.records = append(p.records, r)
	}
	if len(raws) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return first, int64(len(p.records))
}

// Put writes a record of a keyed topic as the platform's own writers do.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.partition(topic + "/0").add([][]byte{append(raw, value...)})
}

// Snapshot returns the newest records of a keyed partition, by key.
func (s *Store) Snapshot(name string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]byte{}
	for k, r := range s.partition(name).newest {
		out[k] = r.value
	}
	return out
}

// Records returns all records of a partition, in order.
func (s *Store) Records(name string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]byte
	for _, r := range s.partition(name).records {
		out = append(out, r.raw)
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	serve := func() { s.serve(w, r) }
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil && fault(w, r, serve) {
		return
	}
	serve()
}

func (s *Store) setFault(f func(w http.ResponseWriter, r *http.Request, serve func()) bool) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r, name)
	case "/v1/log-read":
		s.read(w, r, name)
	case "/v1/log-newest":
		s.newest(w, r, name)
	case "/v1/log-trim":
		writeJSON(w, 200, map[string]any{})
	default:
		writeJSON(w, 404, map[string]any{})
	}
}

func intParam(r *http.Request, name string) (int64, bool) {
	v := r.URL.Query().Get(name)
	n, err := strconv.ParseInt(v, 10, 64)
	return n, v != "" && err == nil
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var raws [][]byte
	for b := body; len(b) > 0; {
		if len(b) < 4 || len(b) < 4+int(binary.BigEndian.Uint32(b)) {
			writeJSON(w, 400, map[string]any{"reason": "records"})
			return
		}
		n := int(binary.BigEndian.Uint32(b))
		raws = append(raws, b[4:4+n])
		b = b[4+n:]
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	end := int64(len(p.records))
	producer := r.URL.Query().Get("producer")
	epoch, _ := intParam(r, "epoch")
	sequence, _ := intParam(r, "sequence")
	var state *producerState
	if producer != "" {
		state = p.producers[producer]
		switch {
		case state == nil || epoch > state.epoch:
			state = &producerState{epoch: epoch, fresh: true}
		case epoch < state.epoch:
			writeJSON(w, 409, map[string]any{"reason": "fenced"})
			return
		default:
			for _, a := range state.recent {
				if a.sequence == sequence && len(raws) > 0 {
					writeJSON(w, 200, map[string]any{"offset": a.first, "endOffset": a.end})
					return
				}
			}
			if len(raws) > 0 && !state.fresh && sequence != state.last+1 {
				writeJSON(w, 409, map[string]any{"reason": "seq", "sequence": state.last + 1})
				return
			}
		}
	}
	if asOf, ok := intParam(r, "asOf"); ok && asOf != end {
		writeJSON(w, 412, map[string]any{"endOffset": end})
		return
	}
	first, last := p.add(raws)
	if state != nil {
		p.producers[producer] = state
		if len(raws) > 0 {
			state.last, state.fresh = sequence, false
			state.recent = append(state.recent, producerAppend{sequence, first, last})
			if len(state.recent) > 5 {
				state.recent = state.recent[1:]
			}
		}
	}
	writeJSON(w, 200, map[string]any{"offset": first, "endOffset": last})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := intParam(r, "from")
	wait, _ := intParam(r, "waitMs")
	maxKB, ok := intParam(r, "maxKb")
	if !ok {
		maxKB = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := wait == 0; ; {
		s.mu.Lock()
		p := s.partition(name)
		changed, end := p.changed, int64(len(p.records))
		if from < end || last {
			var out []byte
			out = binary.BigEndian.AppendUint64(out, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < end && i >= 0; i++ {
				if len(out) > 16 && int64(len(out)+4+len(p.records[i].raw)) > maxKB<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i].raw)))
				out = append(out, p.records[i].raw...)
			}
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Header().Set("Content-Length", strconv.Itoa(len(out)))
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request, name string) {
	after := r.URL.Query().Get("dependsOn")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if after == "" || k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		v := p.newest[k]
		if len(items) == 500 || len(items) > 0 && size+len(v.value) > 1<<20 {
			more = true
			break
		}
		size += len(v.value)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v.value), "offset": v.offset})
	}
	writeJSON(w, 200, map[string]any{"items": items, "hasMore": more, "endOffset": len(p.records)})
}

var _ = fmt.Sprint
