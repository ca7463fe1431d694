// Package emulator is an in-memory copy of the users' platform at the product's
// ports: the log, the workers and the policy service. It obeys whatever it is
// told and records each breach of the platform's rules; it never saves the
// system from its own mistakes.
//
// It uses only timers, channels and short locks, so it runs in real time as
// well as in a testing/synctest bubble. Everything that is used in a bubble has
// to be made in it. Work that outlives a call is left to timers, so a test may
// end at any moment.
package emulator

import (
	"context"
	"time"
)

// DefaultLatency is the one-way latency of a call where none is configured.
const DefaultLatency = time.Millisecond

// exchange carries a request to a server and its answer back. The server acts
// one latency after the call, whether the caller still waits or not; it sends
// at most one answer with the function that it is given. It reports false when
// the context ends first.
func exchange[T any](ctx context.Context, latency time.Duration, serve func(answer func(T))) (T, bool) {
	answers := make(chan T, 1)
	time.AfterFunc(latency, func() {
		serve(func(v T) { answers <- v })
	})
	return await(ctx, answers)
}

// await returns what the channel brings, or false when the context ends first.
func await[T any](ctx context.Context, ch <-chan T) (T, bool) {
	select {
	case v := <-ch:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// pause waits, and reports false when the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	_, ok := await(ctx, t.C)
	return ok
}

// orDefault returns v, or d where v is zero.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
