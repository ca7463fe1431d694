package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings file that the nodes get.
const (
	recordBytes  = 262144
	requestBytes = 2097152
	storeAnswer  = 4 * time.Millisecond
)

type record struct {
	raw      []byte // what follows the four bytes of length
	key, val string
}

type answer struct {
	seq        int64
	first, end int64
}

type producer struct {
	epoch, seq int64
	last       []answer
}

type partition struct {
	records   []record
	newest    map[string]int64
	producers map[string]*producer
	changed   chan struct{}
}

// store is a stand-in for the platform's metadata store (PROTOCOL.md).
type store struct {
	w     *world
	mu    sync.Mutex
	parts map[string]*partition
	// lose, if set, says for an append of the nodes whether its answer is lost, and
	// how long after its arrival it is done then (below 0: not at all).
	lose func(topic string, keys []string) (bool, time.Duration)
	// refused counts the appends that broke the limits.
	refused int
}

func newStore(w *world) *store { return &store{w: w, parts: map[string]*partition{}} }

func (s *store) part(name string) *partition {
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

func (p *partition) add(rs []record, keyed bool) (int64, int64) {
	first := int64(len(p.records))
	for _, r := range rs {
		if keyed {
			if r.val == "" {
				delete(p.newest, r.key)
			} else {
				p.newest[r.key] = int64(len(p.records))
			}
		}
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return first, int64(len(p.records))
}

// put writes a record of the operator or of a runner.
func (s *store) put(topic, key, val string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key+val...)
	s.part(topic+"/0").add([]record{{raw, key, val}}, true)
}

// newestOf returns the newest value of a key.
func (s *store) newestOf(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic + "/0")
	if at, ok := p.newest[key]; ok {
		return p.records[at].val
	}
	return ""
}

func reply(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	name := topic + "/" + q.Get("part")
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r, topic, name)
	case "/v1/log-read":
		s.read(w, r, name)
	case "/v1/log-newest":
		s.newestPage(w, r, name)
	default:
		reply(w, 404, map[string]any{})
	}
}

func parseRecords(body []byte, keyed bool) ([]record, bool) {
	var out []record
	if len(body) > requestBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || len(body) < 4+n {
			return nil, false
		}
		r := record{raw: bytes.Clone(body[4 : 4+n])}
		if keyed {
			if n < 1 || n < 1+int(r.raw[0]) {
				return nil, false
			}
			r.key, r.val = string(r.raw[1:1+int(r.raw[0])]), string(r.raw[1+int(r.raw[0]):])
		}
		out = append(out, r)
		body = body[4+n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, 403, map[string]any{})
		return
	}
	keyed := strings.HasPrefix(topic, "keyed.")
	rs, ok := parseRecords(body, keyed)
	time.Sleep(storeAnswer / 2)
	if !ok {
		s.mu.Lock()
		s.refused++
		n := s.refused
		s.mu.Unlock()
		if n <= 3 || n%100 == 0 {
			s.w.logf("store: append of %d bytes to %s refused with 400 (a record over %d bytes, or the request over %d); %d so far", len(body), name, recordBytes, requestBytes, n)
		}
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		keys := make([]string, len(rs))
		for i := range rs {
			keys[i] = rs[i].key
		}
		if lost, late := lose(topic, keys); lost {
			if late >= 0 {
				go func() {
					time.Sleep(late)
					status, _ := s.doAppend(r, name, keyed, rs)
					s.w.logf("store: append of %v, whose answer was lost, is carried out now: %d", keys, status)
				}()
			}
			<-r.Context().Done() // the connection returns nothing further
			panic(http.ErrAbortHandler)
		}
	}
	status, v := s.doAppend(r, name, keyed, rs)
	time.Sleep(storeAnswer / 2)
	reply(w, status, v)
}

func (s *store) doAppend(r *http.Request, name string, keyed bool, rs []record) (int, map[string]any) {
	q := r.URL.Query()
	num := func(k string) int64 { n, _ := strconv.ParseInt(q.Get(k), 10, 64); return n }
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(name)
	if q.Has("producer") {
		pr := p.producers[q.Get("producer")]
		if pr == nil {
			pr = &producer{epoch: -1}
			p.producers[q.Get("producer")] = pr
		}
		epoch, seq := num("epoch"), num("sequence")
		if epoch < pr.epoch {
			return 409, map[string]any{"reason": "fenced"}
		}
		if epoch == pr.epoch && len(rs) > 0 {
			for _, a := range pr.last {
				if a.seq == seq {
					return 200, map[string]any{"offset": a.first, "endOffset": a.end}
				}
			}
			if seq != pr.seq+1 {
				return 409, map[string]any{"reason": "seq", "sequence": pr.seq + 1}
			}
		}
		if epoch > pr.epoch {
			*pr = producer{epoch: epoch}
		}
		if len(rs) > 0 {
			pr.seq = seq
			first, end := p.add(rs, keyed)
			pr.last = append(pr.last, answer{seq, first, end})
			if len(pr.last) > 5 {
				pr.last = pr.last[1:]
			}
			return 200, map[string]any{"offset": first, "endOffset": end}
		}
		return 200, map[string]any{"offset": len(p.records), "endOffset": len(p.records)}
	}
	if q.Has("asOf") && num("asOf") != int64(len(p.records)) {
		return 412, map[string]any{"endOffset": len(p.records)}
	}
	first, end := p.add(rs, keyed)
	return 200, map[string]any{"offset": first, "endOffset": end}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	maxKb, _ := strconv.Atoi(q.Get("maxKb"))
	if maxKb == 0 {
		maxKb = 1024
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	time.Sleep(storeAnswer / 2)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p := s.part(name)
		end, changed := int64(len(p.records)), p.changed
		if from < end || wait == 0 {
			var b bytes.Buffer
			_ = binary.Write(&b, binary.BigEndian, []uint64{uint64(end), 0})
			for at := from; at < end; at++ {
				raw := p.records[at].raw
				if b.Len() > 16 && b.Len()+4+len(raw) > maxKb<<10 {
					break
				}
				_ = binary.Write(&b, binary.BigEndian, uint32(len(raw)))
				b.Write(raw)
			}
			s.mu.Unlock()
			time.Sleep(storeAnswer / 2)
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Header().Set("Content-Length", strconv.Itoa(b.Len()))
			_, _ = w.Write(b.Bytes())
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestPage(w http.ResponseWriter, r *http.Request, name string) {
	after := r.URL.Query().Get("dependsOn")
	time.Sleep(storeAnswer)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(name)
	var keys []string
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		x := p.records[p.newest[k]]
		if len(items) == 500 || len(items) > 0 && size+len(x.val) > 1<<20 {
			more = true
			break
		}
		size += len(x.val)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString([]byte(x.val)), "offset": p.newest[k]})
	}
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "endOffset": len(p.records)})
}
