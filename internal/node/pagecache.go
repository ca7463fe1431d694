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
	// keyListTTL is how long a list of keys is reused for pages: nodes that
	// start at the same time request the same pages.
	keyListTTL = 500 * time.Millisecond
	// maxPageRecords and maxPageBytes bound a page. Sending one over a 10 Mbit/s
	// link takes 0.1 s.
	maxPageRecords = 500
	maxPageBytes   = 128 << 10
	// maxPageViewAge is the maximum age of a view that is served to other nodes.
	// Later records are still in the history of the log at that age.
	maxPageViewAge = 10 * time.Second
)

// pageCache serves pages of the newest records of the job log from a node's job
// table to nodes whose view is not loaded yet. It may be used concurrently.
type pageCache struct {
	mu   sync.Mutex
	keys []string
	// endOffset is the position of the table when the keys were listed, readAt
	// when the log was last read up to it.
	endOffset        int64
	readAt, listedAt time.Time
	// cached holds the pages by the key that they follow.
	cached map[string]store.Page
}

// page returns the page after a key. It returns store.ErrLoading while the table
// is not loaded or is too old.
func (p *pageCache) page(t *jobTable, after string) (store.Page, error) {
	if !t.isFresh(time.Now(), maxPageViewAge) {
		return store.Page{}, errors.WithStack(store.ErrLoading)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.listedAt) > keyListTTL {
		p.keys, p.endOffset, p.readAt = t.recordKeys()
		p.listedAt, p.cached = time.Now(), map[string]store.Page{}
		time.AfterFunc(2*keyListTTL, p.expire)
	}
	if page, ok := p.cached[after]; ok {
		return page, nil
	}
	page, err := t.buildPage(p.keys, after)
	if err != nil {
		return store.Page{}, err
	}
	page.End, page.ReadAt = p.endOffset, p.readAt
	p.cached[after] = page
	return page, nil
}

// expire drops the cached pages once they are no longer served.
func (p *pageCache) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.listedAt) > keyListTTL {
		p.keys, p.cached, p.listedAt = nil, nil, time.Time{}
	}
}

// recordKeys returns the sorted keys of all records in the table, the offset up
// to which the log was read, and when.
func (t *jobTable) recordKeys() ([]string, int64, time.Time) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	keys := make([]string, 0, 2*len(t.entries)+len(t.registrations))
	for id, e := range t.entries {
		if e.job != nil {
			keys = append(keys, jobKeyPrefix+id)
		}
		if e.cancelled {
			keys = append(keys, cancelKeyPrefix+id)
		}
		if _, ok := t.newestOffsets[progressKeyPrefix+id]; ok {
			keys = append(keys, progressKeyPrefix+id)
		}
	}
	for id := range t.registrations {
		keys = append(keys, workerKeyPrefix+id)
	}
	for _, key := range []string{termKey, successionKey, runTimesKey} {
		if _, ok := t.newestOffsets[key]; ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, t.nextOffset, t.readAt
}

// buildPage returns the records of the keys after the given one. Records dropped
// since the keys were listed are left out.
func (t *jobTable) buildPage(keys []string, after string) (store.Page, error) {
	at, found := slices.BinarySearch(keys, after)
	if found {
		at++
	}
	var page store.Page
	for size := 0; at < len(keys) && len(page.Records) < maxPageRecords && size < maxPageBytes; at++ {
		value, offset, ok := t.recordValue(keys[at])
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

// recordValue returns the value of a key's record and its offset. For a job,
// this is the offset of its first record.
func (t *jobTable) recordValue(key string) (value any, offset int64, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	offset = t.newestOffsets[key]
	switch key {
	case termKey:
		return t.succession.term, offset, true
	case successionKey:
		return t.succession.record, offset, true
	case runTimesKey:
		return runTimesRecord{t.runTimes}, offset, len(t.runTimes) > 0
	}
	kind, id := key[:len(jobKeyPrefix)], key[len(jobKeyPrefix):]
	if kind == workerKeyPrefix {
		value, ok = t.registrations[id]
		return value, offset, ok
	}
	e := t.entries[id]
	if e == nil {
		return nil, 0, false
	}
	switch kind {
	case jobKeyPrefix:
		return e.job, e.offset, e.job != nil
	case cancelKeyPrefix:
		return struct{}{}, offset, e.cancelled
	case progressKeyPrefix:
		return e.progress, offset, true
	}
	return nil, 0, false
}
