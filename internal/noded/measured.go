package noded

import (
	"context"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// measuredStore measures the calls of a store.
type measuredStore struct {
	store.Store
	observe func(name string, d time.Duration)
}

// Append implements store.Store.
func (s measuredStore) Append(ctx context.Context, p store.Partition, records []store.Record, opt store.AppendOptions) (store.AppendResult, error) {
	began := time.Now()
	defer func() { s.observe("store-append", time.Since(began)) }()
	return s.Store.Append(ctx, p, records, opt)
}

// Read implements store.Store.
func (s measuredStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	began := time.Now()
	defer func() { s.observe("store-read", time.Since(began)) }()
	return s.Store.Read(ctx, p, from, wait)
}

// Newest implements store.Store.
func (s measuredStore) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	began := time.Now()
	defer func() { s.observe("store-newest", time.Since(began)) }()
	return s.Store.Newest(ctx, p, after)
}
