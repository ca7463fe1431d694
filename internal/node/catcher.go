package node

import "context"

// catcher has the log of jobs read to its end, one reading for all who ask
// before it is sent.
type catcher struct {
	asked chan struct{}
	read  func(context.Context)
}

func newCatcher(read func(context.Context)) *catcher {
	return &catcher{asked: make(chan struct{}, 1), read: read}
}

func (c *catcher) ask() {
	select {
	case c.asked <- struct{}{}:
	default:
	}
}

// run reads until the context ends.
func (c *catcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.asked:
			c.read(ctx)
		}
	}
}
