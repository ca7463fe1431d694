//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// logStore is a stand-in for the platform's metadata store. It does what PROTOCOL.md says of
// log-append, log-read and log-newest, and nothing else.
type logStore struct {
	mu    sync.Mutex
	parts map[string]*logPart
}

type logPart struct {
	records  [][]byte
	newest   map[string]int64
	changed  chan struct{}
	producer map[string]*producer
}

type producer struct {
	epoch, sequence int64
	answers         map[int64][2]int64
}

func newLogStore() *logStore { return &logStore{parts: map[string]*logPart{}} }

func (s *logStore) part(name string) *logPart {
	p := s.parts[name]
	if p == nil {
		p = &logPart{newest: map[string]int64{}, changed: make(chan struct{}), producer: map[string]*producer{}}
		s.parts[name] = p
	}
	return p
}

// put writes a record as the operator or a runner does.
func (s *logStore) put(topic, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic + "/0").append([][]byte{append(append([]byte{byte(len(key))}, key...), b...)})
}

// drop removes a key, as the platform does with the entry of a runner that is gone.
func (s *logStore) drop(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic + "/0").append([][]byte{append([]byte{byte(len(key))}, key...)})
}

func (p *logPart) append(records [][]byte) {
	for _, r := range records {
		if len(r) > 0 && len(r) > int(r[0]) {
			key := string(r[1 : 1+int(r[0])])
			if len(r) == 1+int(r[0]) {
				delete(p.newest, key)
			} else {
				p.newest[key] = int64(len(p.records))
			}
		}
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// ServeHTTP implements http.Handler.
func (s *logStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic") + "/" + q.Get("part")
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, name)
	case "/v1/log-read":
		s.serveRead(w, r, name)
	case "/v1/log-newest":
		s.serveNewest(w, r, name)
	default:
		answer(w, http.StatusNotFound, map[string]string{})
	}
}

func number(v string) int64 { n, _ := strconv.ParseInt(v, 10, 64); return n }

func (s *logStore) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			answer(w, http.StatusBadRequest, map[string]string{})
			return
		}
		records = append(records, body[4:4+n:4+n])
		body = body[4+n:]
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(name)
	end := int64(len(p.records))
	if v := q.Get("producer"); v != "" {
		epoch, sequence := number(q.Get("epoch")), number(q.Get("sequence"))
		d := p.producer[v]
		switch {
		case d == nil || epoch > d.epoch:
			d = &producer{epoch: epoch, sequence: sequence - 1, answers: map[int64][2]int64{}}
			p.producer[v] = d
		case epoch < d.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if a, ok := d.answers[sequence]; ok && sequence > d.sequence-5 {
			answer(w, http.StatusOK, map[string]int64{"offset": a[0], "endOffset": a[1]})
			return
		}
		if sequence != d.sequence+1 {
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": d.sequence + 1})
			return
		}
		if v := q.Get("asOf"); v != "" && number(v) != end {
			answer(w, http.StatusPreconditionFailed, map[string]int64{"endOffset": end})
			return
		}
		d.sequence = sequence
		d.answers[sequence] = [2]int64{end, end + int64(len(records))}
	} else if v := q.Get("asOf"); v != "" && number(v) != end {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"endOffset": end})
		return
	}
	p.append(records)
	answer(w, http.StatusOK, map[string]int64{"offset": end, "endOffset": int64(len(p.records))})
}

func (s *logStore) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, wait := number(q.Get("from")), time.Duration(number(q.Get("waitMs")))*time.Millisecond
	limit := int(number(q.Get("maxKb"))) << 10
	if limit == 0 {
		limit = 1 << 20
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		s.mu.Lock()
		p := s.part(name)
		changed, end := p.changed, int64(len(p.records))
		out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(end)), 0)
		for i := from; i < end && len(out) < limit; i++ {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(p.records[i]))), p.records[i]...)
		}
		s.mu.Unlock()
		if from >= end && wait > 0 {
			select {
			case <-changed:
				continue
			case <-until.C:
			case <-r.Context().Done():
				return
			}
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(out)
		return
	}
}

func (s *logStore) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	after := r.URL.Query().Get("dependsOn")
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	p := s.part(name)
	var keys []string
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, more := []item{}, false
	for _, k := range keys {
		if more = len(items) == 500; more {
			break
		}
		rec := p.records[p.newest[k]]
		items = append(items, item{k, base64.StdEncoding.EncodeToString(rec[1+len(k):]), p.newest[k]})
	}
	end := len(p.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}
