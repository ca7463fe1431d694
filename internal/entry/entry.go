// Package entry carries callers' requests to runners. One goroutine owns the
// routing core; callers' goroutines send it events and follow its verdicts.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/routing"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// Options configure an entry.
type Options struct {
	Core       routing.Settings
	Schedulers []string
	// Client is for control messages.
	Client    *http.Client
	Telemetry *telemetry.Telemetry
	Logger    *logrus.Entry
}

// The pace of the core's goroutine.
const (
	tickInterval = 20 * time.Millisecond
	// lookInterval is how often connections are looked at for progress.
	lookInterval = 500 * time.Millisecond
	eventBuffer  = 4096
)

// Entry is one entry host's request path.
type Entry struct {
	opt       Options
	start     time.Time
	inbox     chan message
	stopped   chan struct{}
	core      *routing.Core
	calls     map[uint64]*call
	ids       atomic.Uint64
	upstreams *upstreams
	answers   *answers
	metrics   *metrics
	// running counts the goroutines of sends and control messages.
	running sync.WaitGroup
	replies replies
	ready   atomic.Bool
	// open and held are the requests and slots in use, for the log.
	open, held atomic.Int64
}

// message is what the core's goroutine takes: an event, with the call that it
// begins, or a function to run there.
type message struct {
	ev   routing.Event
	call *call
	do   func(*routing.Core)
}

// New returns an entry that knows no runner.
func New(opt Options) (*Entry, error) {
	m, err := newMetrics(opt.Telemetry)
	if err != nil {
		return nil, err
	}
	return &Entry{
		opt:       opt,
		start:     time.Now(),
		inbox:     make(chan message, eventBuffer),
		stopped:   make(chan struct{}),
		core:      routing.New(opt.Core),
		calls:     map[uint64]*call{},
		upstreams: newUpstreams(),
		answers:   newAnswers(),
		metrics:   m,
		replies:   newReplies(),
	}, nil
}

// now is the core's local time.
func (e *Entry) now() time.Duration { return time.Since(e.start) }

// Start runs the entry's goroutines. The returned function ends them; requests
// still in flight are then cut off.
func (e *Entry) Start(ctx context.Context) (stop func()) {
	working, stopWorking := context.WithCancel(ctx)
	background, stopBackground := context.WithCancel(ctx)
	go e.run(working)
	e.running.Go(func() { (&follower{entry: e}).follow(background) })
	e.followLoads(background)
	return func() {
		stopBackground()
		stopWorking()
		<-e.stopped
		e.running.Wait()
	}
}

// run owns the core until ctx ends.
func (e *Entry) run(ctx context.Context) {
	defer close(e.stopped)
	tick, look := time.NewTicker(tickInterval), time.NewTicker(lookInterval)
	defer tick.Stop()
	defer look.Stop()
	for {
		select {
		case m := <-e.inbox:
			e.handle(ctx, m)
		case <-tick.C:
			e.tick(ctx)
		case <-look.C:
			e.look(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) handle(ctx context.Context, m message) {
	if m.do != nil {
		m.do(e.core)
		return
	}
	if m.call != nil {
		e.calls[m.call.id] = m.call
	}
	e.settle(m.ev)
	e.step(ctx, m.ev)
}

// settle takes note that a send has ended.
func (e *Entry) settle(ev routing.Event) {
	switch ev := ev.(type) {
	case routing.SendAnswered:
		e.sendEnded(ev.ID)
	case routing.SendRefused:
		e.sendEnded(ev.ID)
	case routing.SendFailed:
		e.sendEnded(ev.ID)
	}
}

func (e *Entry) sendEnded(id uint64) {
	if c := e.calls[id]; c != nil {
		c.inFlight = false
		e.forget(c)
	}
}

// forget drops a call that neither caller nor core has a use for.
func (e *Entry) forget(c *call) {
	if c.ended && !c.inFlight {
		delete(e.calls, c.id)
	}
}

func (e *Entry) step(ctx context.Context, ev routing.Event) {
	for _, eff := range e.core.Step(e.now(), ev) {
		e.do(ctx, eff)
	}
}

func (e *Entry) do(ctx context.Context, eff routing.Effect) {
	switch eff := eff.(type) {
	case routing.Send:
		c := e.calls[eff.ID]
		c.inFlight = true
		c.verdicts <- eff
	case routing.Finish:
		e.metrics.ended(eff.Result.Outcome)
		c := e.calls[eff.ID]
		c.verdicts <- eff
		c.ended = true
		e.forget(c)
	case routing.CancelSend:
		e.giveUp(eff)
	case routing.DropResponse:
		e.answers.drop(eff.ID)
	default:
		e.control(ctx, eff)
	}
}

// giveUp closes the connection of a send. A send that the caller's goroutine
// has not begun yet is given up later, by the next look.
func (e *Entry) giveUp(g routing.CancelSend) {
	c := e.calls[g.ID]
	if c == nil {
		return
	}
	c.gaveUp = g.Send
	if x := c.current.Load(); x != nil && x.send.Send == g.Send {
		x.cancel()
	}
}

func (e *Entry) tick(ctx context.Context) {
	if at, ok := e.core.NextTimer(); ok && at <= e.now() {
		e.step(ctx, routing.Tick{})
	}
}

// look reports the sends whose connections moved bytes, and publishes counts.
func (e *Entry) look(ctx context.Context) {
	for id, c := range e.calls {
		x := c.current.Load()
		if x == nil || !c.inFlight {
			continue
		}
		if c.gaveUp == x.send.Send {
			x.cancel()
		}
		if n := x.bytes(); n != x.moved {
			x.moved = n
			e.step(ctx, routing.SendProgressed{ID: id, Send: x.send.Send})
		}
	}
	open, held := e.core.InFlight()
	e.open.Store(int64(open))
	e.held.Store(int64(held))
	e.ready.Store(e.core.Ready())
	e.metrics.publish(e.core.Counters())
	e.upstreams.sweep(time.Now())
}

// post hands an event to the core's goroutine.
func (e *Entry) post(ev routing.Event) { e.put(message{ev: ev}) }

// admit hands a new call to the core's goroutine.
func (e *Entry) admit(c *call) { e.put(message{ev: c.admit, call: c}) }

func (e *Entry) put(m message) {
	select {
	case e.inbox <- m:
	case <-e.stopped:
	}
}

// inspect runs f on the core's goroutine and waits for it. It returns false
// when that goroutine has ended.
func (e *Entry) inspect(f func(*routing.Core)) bool {
	done := make(chan struct{})
	e.put(message{do: func(c *routing.Core) { f(c); close(done) }})
	select {
	case <-done:
		return true
	case <-e.stopped:
		return false
	}
}

// take steps the core with an event and waits until it has.
func (e *Entry) take(ev routing.Event) {
	e.post(ev)
	e.inspect(func(c *routing.Core) { e.ready.Store(c.Ready()) })
}

// Ready reports whether the entry knows its runners and takes requests.
func (e *Entry) Ready() bool { return e.ready.Load() }

// Register adds the callers' routes and what other entries call.
func (e *Entry) Register(r *mux.Router) {
	r.PathPrefix("/s/{service}").HandlerFunc(e.serve)
	e.registerControl(r)
}
