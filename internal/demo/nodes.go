package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	operators "github.com/mimosaspool/mimosaspool/api/operator"
	api "github.com/mimosaspool/mimosaspool/api/peer"
	"github.com/mimosaspool/mimosaspool/internal/console"
	"github.com/mimosaspool/mimosaspool/internal/emulator"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/node"
	"github.com/mimosaspool/mimosaspool/internal/peer"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// network carries calls between the nodes of one process.
type network struct {
	mu    sync.Mutex
	nodes map[string]*member
}

// member is a node that runs.
type member struct {
	name, address string
	node          *node.Node
	handler       http.Handler
	ctx           context.Context
	cancel        context.CancelFunc
	done          chan struct{}
	// tookOver is when it last began to dispatch, in Unix nanoseconds.
	tookOver atomic.Int64
}

var errNoMember = errors.New("demo: nothing listens there")

func (n *network) at(address string) *member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(req *http.Request) (*http.Response, error) {
	m := n.at(req.URL.Host)
	if m == nil {
		return nil, errNoMember
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithCancel(req.Context())
	stop := context.AfterFunc(m.ctx, cancel)
	in := req.Clone(ctx)
	in.RequestURI, in.Body = req.URL.RequestURI(), io.NopCloser(bytes.NewReader(body))
	a := &answer{header: http.Header{}, status: http.StatusOK}
	served := make(chan struct{})
	go func() {
		defer cancel()
		defer stop()
		defer close(served)
		m.handler.ServeHTTP(a, in)
	}()
	select {
	case <-served:
	case <-ctx.Done():
		// Who is served in the same moment is served; else nobody reads the answer.
		select {
		case <-served:
		default:
			return nil, errNoMember
		}
	}
	if m.ctx.Err() != nil {
		return nil, errNoMember
	}
	return &http.Response{StatusCode: a.status, Header: a.header, Body: io.NopCloser(&a.body), Request: req, ProtoMajor: 1, ProtoMinor: 1}, nil
}

// answer is what a handler writes.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) { return a.body.Write(p) }

// Where the emulated platform's records are.
var (
	operatorsFeed = store.Partition{Topic: "keyed.operators"}
	workersFeed   = store.Partition{Topic: "keyed.workers"}
	statusFeed    = store.Partition{Topic: "keyed.status"}
)

func emulatedFeeds() node.Feeds {
	return node.Feeds{
		Operators: operatorsFeed, Workers: workersFeed, Status: statusFeed,
		DecodeCatalog: func(r store.Record) (*workflow.Catalog, error) {
			cat := &workflow.Catalog{}
			return cat, json.Unmarshal(r.Value, cat)
		},
		DecodeWave: func(store.Record) (*worker.MaintenanceWave, error) { return nil, nil },
		DecodeWorker: func(r store.Record) (worker.Info, error) {
			var i worker.Info
			return i, json.Unmarshal(r.Value, &i)
		},
		EncodeWaveStatus: func(int64, bool) store.Record { return store.Record{} },
	}
}

// site is nodes, workers and callers around one log, all emulated but the nodes.
type site struct {
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	log     *emulator.Log
	fleet   *emulator.Fleet
	catalog *workflow.Catalog
	net     *network
	logger  *logrus.Logger
	mu      sync.Mutex
	turn    int
}

const (
	emulatedWorkers = 6
	emulatedRacks   = 3
	nodeRetention   = time.Hour
)

func newSite(ctx context.Context, seed uint64, logs io.Writer) (*site, error) {
	s := &site{net: &network{nodes: map[string]*member{}}, logger: logrus.New(), catalog: &workflow.Catalog{
		Version: 1, Pools: map[string]workflow.Pool{"general": {Name: "general"}},
		Queues: map[string]workflow.Queue{
			"batch":   {Name: "batch", Host: "demo", Prefix: "/batch/", Pool: "general", Priority: 1, Attempts: 4, Stretch: 3, Target: 5 * time.Second},
			"serving": {Name: "serving", Host: "demo", Prefix: "/serving/", Pool: "general", Attempts: 4, Stretch: 2, Target: 2 * time.Second},
		}}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.logger.SetOutput(logs)
	s.log = emulator.NewLog(emulator.LogConfig{Seed: seed})
	s.fleet = emulator.NewFleet(emulator.FleetConfig{Seed: seed, StrictLives: true})
	for i := range emulatedWorkers {
		s.fleet.Add(emulator.WorkerConfig{ID: fmt.Sprintf("w%d", i+1), Machine: fmt.Sprintf("m%d", i+1), Pool: "general", Labels: []string{"std", fmt.Sprintf("r%d", i%emulatedRacks+1)},
			Capacity: workflow.Size{MilliCPU: 8000, MemoryMiB: 16384}})
	}
	value, err := json.Marshal(s.catalog)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.log.Put(operatorsFeed, store.Record{Key: "catalog", Value: value})
	s.group.Go(func() {
		s.fleet.Publish(s.ctx, s.log, func(i worker.Info) store.Record {
			b, _ := json.Marshal(i) // strings and numbers only
			return store.Record{Key: i.ID, Value: b}
		}, workersFeed)
	})
	return s, nil
}

func (s *site) close() {
	s.cancel()
	s.group.Wait()
}

// boot starts a node.
func (s *site) boot(name string, delay time.Duration) {
	m := &member{name: name, address: name + ":7000", done: make(chan struct{})}
	m.ctx, m.cancel = context.WithCancel(s.ctx)
	set := node.Settings{Node: name, Domain: "demo", Limits: node.Limits{MaxLease: 10 * time.Second, StopTimeout: 2 * time.Second,
		GangTimeout: 5 * time.Second, DrainBound: 3 * time.Second, CancelBound: 3 * time.Second, StatusRetention: nodeRetention,
		RemoteFactor: 2, CheckpointInterval: 2 * time.Second, RestoreTime: 500 * time.Millisecond, AbsenceNotice: 5 * time.Second}}
	ports := node.Dependencies{Store: s.log.Client(name), Workers: s.fleet.Client(name), MachineClient: s.fleet.MachineList(), PolicyClient: s.fleet.Adviser(name),
		Peers: peer.NewClient(s.net), Feeds: emulatedFeeds(), Count: func(string, string) {}, Observe: func(name string, _ time.Duration) {
			if name == "takeover" {
				m.tookOver.Store(time.Now().UnixNano())
			}
		}}
	m.node = node.New(set, ports, s.logger.WithField("node", name), m.address, name, delay)
	router := mux.NewRouter()
	router.PathPrefix(api.PeerPathPrefix).Handler(peer.Handler(m.node))
	router.PathPrefix(operators.OperatorPathPrefix).Handler(console.Handler(m.node, s.net, nil))
	m.handler = router
	s.net.mu.Lock()
	s.net.nodes[m.address] = m
	s.net.mu.Unlock()
	s.group.Go(func() {
		defer close(m.done)
		m.node.Run(m.ctx)
	})
}

// kill ends a node at once.
func (s *site) kill(m *member) {
	s.fleet.Judge().Disrupt()
	s.net.mu.Lock()
	delete(s.net.nodes, m.address)
	s.net.mu.Unlock()
	m.cancel()
	<-m.done
}

// up returns the nodes that run, by name.
func (s *site) up() []*member {
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	var ms []*member
	for _, m := range s.net.nodes {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *member) int { return bytes.Compare([]byte(a.name), []byte(b.name)) })
	return ms
}

// holder returns the running node that dispatches, nil if none does.
func (s *site) holder() *member {
	for _, m := range s.up() {
		if !m.node.IsLeader() {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, time.Second)
		i, err := m.node.Inspect(ctx, node.InspectRequest{})
		cancel()
		if err == nil && i.Dispatching {
			return m
		}
	}
	return nil
}

// awaitHolder waits for a node that dispatches.
func (s *site) awaitHolder(bound time.Duration) (*member, error) {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		if m := s.holder(); m != nil {
			return m, nil
		}
	}
	return nil, errors.New("no node dispatches")
}

// asker asks the named node first and then the others, or only it.
func (s *site) asker(first string, only bool) *console.Asker {
	a := &console.Asker{HTTP: &http.Client{Transport: s.net}}
	for _, m := range s.up() {
		switch {
		case m.name == first:
			a.Nodes = append([]string{"http://" + m.address}, a.Nodes...)
		case !only:
			a.Nodes = append(a.Nodes, "http://"+m.address)
		}
	}
	return a
}

// callerTries is at how many nodes a caller tries, callTime how long at each.
const (
	callerTries = 4
	callTime    = 3 * time.Second
)

// call has a caller ask one node after the other, beginning with the next in
// turn, as long as nothing was done.
func (s *site) call(ctx context.Context, ask func(context.Context, intake.Service) intake.Outcome) (ok, unknown bool) {
	s.mu.Lock()
	s.turn++
	turn := s.turn
	s.mu.Unlock()
	for try := range callerTries {
		up := s.up()
		m := up[(turn+try)%len(up)]
		callCtx, cancel := context.WithTimeout(ctx, callTime)
		stop := context.AfterFunc(m.ctx, cancel)
		o := ask(callCtx, m.node.Desk())
		gone := m.ctx.Err() != nil
		stop()
		cancel()
		switch {
		case gone || o.Code == intake.OutcomeUnknown:
			return false, true
		case o.Code == intake.OK:
			return true, false
		}
	}
	return false, false
}
