package node

import "context"

// readCoalescer triggers reads of the job log up to its end. All requests made
// before a read is sent share that read.
type readCoalescer struct {
	requests chan struct{}
	read     func(context.Context)
}

func newReadCoalescer(read func(context.Context)) *readCoalescer {
	return &readCoalescer{requests: make(chan struct{}, 1), read: read}
}

// request asks for a read. It does not block.
func (c *readCoalescer) request() {
	select {
	case c.requests <- struct{}{}:
	default:
	}
}

// run performs the requested reads until the context ends.
func (c *readCoalescer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.requests:
			c.read(ctx)
		}
	}
}
