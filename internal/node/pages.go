package node

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

const (
	// pagesAge is how long a list of keys serves for pages: nodes that start at
	// the same time ask for the same ones.
	pagesAge = 500 * time.Millisecond
	// pageRecords and pageBytes bound a page; a link of 10 Mbit/s takes 0.1 s for it.
	pageRecords = 500
	pageBytes   = 128 << 10
	// pagesBound is how old a view may be that is handed on; what came later is
	// still in the log's history then.
	pagesBound = 10 * time.Second
)

// pages makes the newest records of the log of jobs from a node's table, for
// nodes that have none. It may be used concurrently.
type pages struct {
	mu   sync.Mutex
	keys []string
	// end is the table's position when the keys were listed, read when the log was
	// last read up to it.
	end          int64
	read, listed time.Time
	// made are the pages by the key that they follow.
	made map[string]store.Page
}

// page returns the page after a key. Its error is store.ErrLoading while the
// table is not whole, or too old.
func (p *pages) page(t *table, after string) (store.Page, error) {
	if !t.fresh(time.Now(), pagesBound) {
		return store.Page{}, errors.WithStack(store.ErrLoading)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.listed) > pagesAge {
		p.keys, p.end, p.read = t.keys()
		p.listed, p.made = time.Now(), map[string]store.Page{}
		time.AfterFunc(2*pagesAge, p.forget)
	}
	if page, ok := p.made[after]; ok {
		return page, nil
	}
	page, err := t.page(p.keys, after)
	if err != nil {
		return store.Page{}, err
	}
	page.End, page.ReadAt = p.end, p.read
	p.made[after] = page
	return page, nil
}

// forget lets go of pages that serve nobody any more.
func (p *pages) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.listed) > pagesAge {
		p.keys, p.made, p.listed = nil, nil, time.Time{}
	}
}

// keys returns the keys of all records that make up the table, in order, the
// offset up to which it was read, and when.
func (t *table) keys() ([]string, int64, time.Time) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	keys := make([]string, 0, 2*len(t.entries)+len(t.engaged))
	for id, e := range t.entries {
		if e.job != nil {
			keys = append(keys, jobKey+id)
		}
		if e.cancelled {
			keys = append(keys, cancelKey+id)
		}
		if _, ok := t.newest[progressKey+id]; ok {
			keys = append(keys, progressKey+id)
		}
	}
	for id := range t.engaged {
		keys = append(keys, workerKey+id)
	}
	slices.Sort(keys)
	return keys, t.next, t.readAt
}

// page returns the records of the keys after the given one. What was dropped
// since the keys were listed is left out.
func (t *table) page(keys []string, after string) (store.Page, error) {
	at, found := slices.BinarySearch(keys, after)
	if found {
		at++
	}
	var page store.Page
	for size := 0; at < len(keys) && len(page.Records) < pageRecords && size < pageBytes; at++ {
		value, offset, ok := t.value(keys[at])
		if !ok {
			continue
		}
		b, err := json.Marshal(value)
		if err != nil {
			return store.Page{}, errors.Wrap(err, keys[at])
		}
		size += len(keys[at]) + len(b)
		page.Records = append(page.Records, store.StoredRecord{Offset: offset, Record: store.Record{Key: keys[at], Value: b}})
	}
	if at < len(keys) {
		page.NextKey = keys[at-1]
	}
	return page, nil
}

// value returns what a key's record holds, with its offset: of a job, that of
// its first record.
func (t *table) value(key string) (value any, offset int64, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	offset = t.newest[key]
	kind, id := key[:len(jobKey)], key[len(jobKey):]
	if kind == workerKey {
		value, ok = t.engaged[id]
		return value, offset, ok
	}
	e := t.entries[id]
	if e == nil {
		return nil, 0, false
	}
	switch kind {
	case jobKey:
		return e.job, e.offset, e.job != nil
	case cancelKey:
		return struct{}{}, offset, e.cancelled
	case progressKey:
		return e.progress, offset, true
	}
	return nil, 0, false
}
