package entry

import (
	"context"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/twitchtv/twirp"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// The pace of messages between entries.
const (
	loadInterval = time.Second
	peerTimeout  = time.Second
)

// replies hands the core's replies to the handlers that wait for them.
type replies struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]chan routing.Effect
}

func newReplies() replies { return replies{open: map[uint64]chan routing.Effect{}} }

func (r *replies) begin() (uint64, chan routing.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	ch := make(chan routing.Effect, 1)
	r.open[r.last] = ch
	return r.last, ch
}

func (r *replies) end(call uint64, eff routing.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ch := r.open[call]; ch != nil {
		ch <- eff
		delete(r.open, call)
	}
}

// control carries out the effects that concern other entries.
func (e *Entry) control(ctx context.Context, eff routing.Effect) {
	switch eff := eff.(type) {
	case routing.StoreIntent:
		e.running.Go(func() { e.storeIntent(ctx, eff) })
	case routing.ListIntents:
		e.running.Go(func() { e.recall(ctx, eff) })
	case routing.StoreIntentReply:
		e.replies.end(eff.Call, eff)
	case routing.ListIntentsReply:
		e.replies.end(eff.Call, eff)
	}
}

func (e *Entry) peer(address string) control.Entry {
	return control.NewEntryProtobufClient("http://"+address, e.opt.Client)
}

func (e *Entry) storeIntent(ctx context.Context, s routing.StoreIntent) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := e.peer(s.Address).StoreIntent(ctx, &control.StoreIntentRequest{Intent: toWire(s.Intent)})
	e.post(routing.StoreIntentDone{Intent: s.Intent, Host: s.Host, Failed: err != nil, Conflict: reply.GetConflict()})
}

func (e *Entry) recall(ctx context.Context, r routing.ListIntents) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := e.peer(r.Address).Recall(ctx, &control.RecallRequest{Host: e.opt.Core.Host})
	ev := routing.IntentsListed{Host: r.Host, Failed: err != nil, Complete: reply.GetComplete()}
	for _, i := range reply.GetIntents() {
		ev.Intents = append(ev.Intents, fromWire(i))
	}
	e.post(ev)
}

// followLoads asks the entries of other domains for their expected waits until
// ctx ends.
func (e *Entry) followLoads(ctx context.Context) {
	for _, p := range e.opt.Core.Peers {
		if p.Domain != e.opt.Core.Domain {
			e.running.Go(func() { e.followLoad(ctx, p) })
		}
	}
}

func (e *Entry) followLoad(ctx context.Context, p routing.Peer) {
	for sleep(ctx, loadInterval) {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := e.peer(p.Address).Load(call, &control.LoadRequest{Host: e.opt.Core.Host})
		cancel()
		if err != nil {
			continue
		}
		ev := routing.PeerLoadReported{Host: p.Host}
		for _, w := range reply.Waits {
			ev.Services = append(ev.Services, routing.ServiceLoad{Service: w.Service, Wait: time.Duration(w.WaitUs) * time.Microsecond})
		}
		e.post(ev)
	}
}

// sleep waits and reports whether ctx still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Entry) registerControl(r *mux.Router) {
	srv := control.NewEntryServer(entryService{e})
	r.PathPrefix(srv.PathPrefix()).Handler(srv)
}

// entryService answers other entries.
type entryService struct{ e *Entry }

// StoreIntent implements control.Entry.
func (s entryService) StoreIntent(ctx context.Context, req *control.StoreIntentRequest) (*control.StoreIntentReply, error) {
	if req.GetIntent().GetKey() == "" {
		return nil, twirp.RequiredArgumentError("intent.key")
	}
	eff, err := s.ask(ctx, func(call uint64) routing.Event {
		return routing.StoreIntentRequested{Call: call, Intent: fromWire(req.Intent)}
	})
	reply, _ := eff.(routing.StoreIntentReply)
	return &control.StoreIntentReply{Conflict: reply.Conflict}, err
}

// Recall implements control.Entry.
func (s entryService) Recall(ctx context.Context, _ *control.RecallRequest) (*control.RecallReply, error) {
	eff, err := s.ask(ctx, func(call uint64) routing.Event { return routing.ListIntentsRequested{Call: call} })
	told, _ := eff.(routing.ListIntentsReply)
	reply := &control.RecallReply{Complete: told.Complete}
	for _, i := range told.Intents {
		reply.Intents = append(reply.Intents, toWire(i))
	}
	return reply, err
}

// ask hands an event to the core and waits for its reply.
func (s entryService) ask(ctx context.Context, event func(call uint64) routing.Event) (routing.Effect, error) {
	call, ch := s.e.replies.begin()
	s.e.post(event(call))
	select {
	case eff := <-ch:
		return eff, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.e.stopped:
		return nil, twirp.Unavailable.Error("stopping")
	}
}

// Load implements control.Entry.
func (s entryService) Load(context.Context, *control.LoadRequest) (*control.LoadReply, error) {
	reply := &control.LoadReply{Host: s.e.opt.Core.Host}
	s.e.inspect(func(c *routing.Core) {
		for _, l := range c.Loads() {
			reply.Waits = append(reply.Waits, &control.ServiceWait{Service: l.Service, WaitUs: l.Wait.Microseconds()})
		}
	})
	return reply, nil
}

func toWire(i routing.Intent) *control.Intent {
	return &control.Intent{Key: i.Key, Holder: i.InstanceID, Id: i.ID, State: int32(i.State)}
}

func fromWire(i *control.Intent) routing.Intent {
	return routing.Intent{Key: i.GetKey(), InstanceID: i.GetHolder(), ID: i.GetId(), State: routing.KeyState(i.GetState())}
}
