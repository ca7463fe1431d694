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

// Intervals and timeouts of messages between entries.
const (
	peerLoadInterval = time.Second
	peerTimeout      = time.Second
)

// pendingReplies passes the core's replies to the handlers that wait for them.
type pendingReplies struct {
	mu       sync.Mutex
	lastCall uint64
	waiting  map[uint64]chan routing.Effect
}

func newPendingReplies() pendingReplies {
	return pendingReplies{waiting: map[uint64]chan routing.Effect{}}
}

func (r *pendingReplies) register() (uint64, chan routing.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCall++
	ch := make(chan routing.Effect, 1)
	r.waiting[r.lastCall] = ch
	return r.lastCall, ch
}

func (r *pendingReplies) deliver(callID uint64, eff routing.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ch := r.waiting[callID]; ch != nil {
		ch <- eff
		delete(r.waiting, callID)
	}
}

// handlePeerEffect carries out the effects that involve other entries.
func (e *Entry) handlePeerEffect(ctx context.Context, eff routing.Effect) {
	switch eff := eff.(type) {
	case routing.StoreIntent:
		e.goroutines.Go(func() { e.storeIntent(ctx, eff) })
	case routing.ListIntents:
		e.goroutines.Go(func() { e.listIntents(ctx, eff) })
	case routing.StoreIntentReply:
		e.replies.deliver(eff.Call, eff)
	case routing.ListIntentsReply:
		e.replies.deliver(eff.Call, eff)
	}
}

func (e *Entry) peerClient(address string) control.Entry {
	return control.NewEntryProtobufClient("http://"+address, e.opt.Client)
}

func (e *Entry) storeIntent(ctx context.Context, s routing.StoreIntent) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := e.peerClient(s.Address).StoreIntent(ctx, &control.StoreIntentRequest{Intent: intentToProto(s.Intent)})
	e.post(routing.StoreIntentDone{Intent: s.Intent, Host: s.Host, Failed: err != nil, Conflict: reply.GetConflict()})
}

func (e *Entry) listIntents(ctx context.Context, r routing.ListIntents) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := e.peerClient(r.Address).Recall(ctx, &control.RecallRequest{Host: e.opt.Core.Host})
	ev := routing.IntentsListed{Host: r.Host, Failed: err != nil, Complete: reply.GetComplete()}
	for _, i := range reply.GetIntents() {
		ev.Intents = append(ev.Intents, intentFromProto(i))
	}
	e.post(ev)
}

// pollPeerLoads polls the entries of other failure domains for their expected
// waits until ctx ends.
func (e *Entry) pollPeerLoads(ctx context.Context) {
	for _, p := range e.opt.Core.Peers {
		if p.Domain != e.opt.Core.Domain {
			e.goroutines.Go(func() { e.pollPeerLoad(ctx, p) })
		}
	}
}

func (e *Entry) pollPeerLoad(ctx context.Context, p routing.Peer) {
	for sleep(ctx, peerLoadInterval) {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := e.peerClient(p.Address).Load(callCtx, &control.LoadRequest{Host: e.opt.Core.Host})
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

// sleep waits for d and reports whether ctx is still active.
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

// entryService serves requests of other entries.
type entryService struct{ e *Entry }

// StoreIntent implements control.Entry.
func (s entryService) StoreIntent(ctx context.Context, req *control.StoreIntentRequest) (*control.StoreIntentReply, error) {
	if req.GetIntent().GetKey() == "" {
		return nil, twirp.RequiredArgumentError("intent.key")
	}
	eff, err := s.askCore(ctx, func(call uint64) routing.Event {
		return routing.StoreIntentRequested{Call: call, Intent: intentFromProto(req.Intent)}
	})
	reply, _ := eff.(routing.StoreIntentReply)
	return &control.StoreIntentReply{Conflict: reply.Conflict}, err
}

// Recall implements control.Entry.
func (s entryService) Recall(ctx context.Context, _ *control.RecallRequest) (*control.RecallReply, error) {
	eff, err := s.askCore(ctx, func(call uint64) routing.Event { return routing.ListIntentsRequested{Call: call} })
	listed, _ := eff.(routing.ListIntentsReply)
	reply := &control.RecallReply{Complete: listed.Complete}
	for _, i := range listed.Intents {
		reply.Intents = append(reply.Intents, intentToProto(i))
	}
	return reply, err
}

// askCore posts an event to the core and waits for its reply.
func (s entryService) askCore(ctx context.Context, event func(callID uint64) routing.Event) (routing.Effect, error) {
	callID, ch := s.e.replies.register()
	s.e.post(event(callID))
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
	s.e.withCore(func(c *routing.Core) {
		for _, l := range c.Loads() {
			reply.Waits = append(reply.Waits, &control.ServiceWait{Service: l.Service, WaitUs: l.Wait.Microseconds()})
		}
	})
	return reply, nil
}

func intentToProto(i routing.Intent) *control.Intent {
	return &control.Intent{Key: i.Key, Holder: i.InstanceID, Id: i.ID, State: int32(i.State)}
}

func intentFromProto(i *control.Intent) routing.Intent {
	return routing.Intent{Key: i.GetKey(), InstanceID: i.GetHolder(), ID: i.GetId(), State: routing.KeyState(i.GetState())}
}
