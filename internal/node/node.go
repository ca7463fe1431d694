package node

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workerconn"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Peers calls other nodes. Its methods may be called concurrently.
type Peers interface {
	// ApproveWorkers makes the node at the address call the policy service.
	ApproveWorkers(ctx context.Context, address string, step workflow.StepID, workers []string) (worker.Approvals, error)
	// AppendRecords makes the node at the address append callers' records to the job
	// log. It returns false if they were not written and never will be. After an error
	// it is not known whether they were or will be written.
	AppendRecords(ctx context.Context, address string, records []store.Record) (bool, error)
	// CanWrite reports whether the node at the address is the leader and the store has
	// answered it recently.
	CanWrite(ctx context.Context, address string) (bool, error)
	// NotifyStepDown tells the node at the address that the leader with the given
	// token steps down.
	NotifyStepDown(ctx context.Context, address string, token int64) error
	// Reader returns a reader of the store that goes through the node at the address.
	Reader(address string) store.Reader
	// ReadJobLog reads the job log from the memory of the node at the address. After
	// an error nothing was read.
	ReadJobLog(ctx context.Context, address string, from int64, wait time.Duration) (store.Batch, error)
}

// Dependencies are the external services and hooks that a node uses.
type Dependencies struct {
	Store   store.Store
	Workers worker.Client
	// PolicyClient may be nil if there is no policy service.
	PolicyClient worker.PolicyClient
	Peers        Peers
	Feeds        Feeds
	// MachineClient may be nil if mimosaspool does not manage machines.
	MachineClient worker.MachineClient
	// BootTime is a clock that also counts the time during which the host was
	// suspended. It is nil if the host is never suspended.
	BootTime func() time.Duration
	// ProcessorTime returns the processor time that the process has used. It is nil if that
	// is unknown.
	ProcessorTime func() time.Duration
	// Count increments the counter of a kind and reason.
	Count func(kind, reason string)
	// Observe adds a duration to the named histogram.
	Observe func(name string, d time.Duration)
}

// Node is the scheduler process of one host. Run may be called only once.
type Node struct {
	settings Settings
	deps     Dependencies
	// forwarded bounds the bytes of callers' records that wait for this node as the leader.
	forwarded byteBudget
	log       logrus.FieldLogger
	desk      *jobAPI
	table     *jobTable
	startedAt time.Time
	// leadership, members and term belong to the control goroutine.
	leadership *tenure.Election
	members    *memberSet
	term       *term
	events     chan any
	// termWriter is the writer of this node's term, or nil if it is not the leader.
	termWriter atomic.Pointer[jobLogWriter]
	// leaderAddr is the last known address of the leader, empty if it is unknown or
	// this node.
	leaderAddr atomic.Pointer[string]
	// peerAddrs are the addresses of the other nodes, the leader's first.
	peerAddrs   atomic.Pointer[[]string]
	storeReader *failoverReader
	recent      *logTail
	// termToken is the token of this node's term, or 0 if it is not the leader.
	termToken          atomic.Int64
	address            string
	leaveRequested     chan struct{}
	leadershipReleased chan struct{}
	views              *viewTracker
	// membership is published for all goroutines.
	membership atomic.Pointer[[]Member]
	// logSource is published for the goroutine that follows the job log.
	logSource atomic.Pointer[logSource]
	// readsDirectly is set when this node has read the job log from the leader or the
	// store, not through another node of its failure domain.
	readsDirectly atomic.Bool
	inspector     inspector
	pages         pageCache
	// bulkSources is published for the goroutine that reads the job log.
	bulkSources atomic.Pointer[loadSources]
	// membersLoaded is closed when the other nodes are known.
	membersLoaded chan struct{}
	catcher       *readCoalescer
	// restUntil is until when this node leaves claims to others, as it was overloaded.
	restUntil time.Duration
	lateness  lateness
	// admission is that of this node's term, nil if no job is rejected.
	admission atomic.Pointer[dispatch.Admission]
	// dispatching is set while the dispatcher of this node's term knows all earlier records.
	dispatching atomic.Bool
	// waves are the operators' maintenance waves by record key.
	waves map[string]requestedWave
}

// eventQueueSize is the capacity of the control goroutine's event queue.
const eventQueueSize = 4096

// New returns a node. Its peers reach it at address. incarnation tells this process
// from earlier ones of the same node. claimDelay is the value of ClaimDelay for the
// node.
func New(settings Settings, deps Dependencies, log logrus.FieldLogger, address, incarnation string, claimDelay time.Duration) *Node {
	t := newJobTable()
	n := &Node{
		settings: settings, deps: deps, log: log, table: t, startedAt: time.Now(),
		leadership: tenure.New(tenure.DefaultTiming(), settings.Node, incarnation, claimDelay),
		members:    newMemberSet(settings.Node), events: make(chan any, eventQueueSize), address: address,
		leaveRequested: make(chan struct{}), leadershipReleased: make(chan struct{}), views: newViewTracker(log), recent: newLogTail(),
		membersLoaded: make(chan struct{}),
	}
	n.recent.maxBytes = max(minTailBytes, int(settings.Limits.MemoryMiB<<20/tailMemoryDivisor))
	n.bulkSources.Store(&loadSources{})
	n.logSource.Store(&logSource{})
	n.storeReader = newFailoverReader(deps.Store, deps.Peers, n.peerAddresses, deps.Count)
	n.updateClaimDeferral(nil)
	n.inspector.latest.Store(&Inspection{superseded: make(chan struct{})})
	direct := newJobLogWriter(deps.Store, 0, newAppendLimits(&settings), n.storeReader, log, deps.Count, nil)
	n.desk = newJobAPI(direct, t, deps.Count, n.writeAtLeader)
	n.desk.applyBounds(settings.Limits)
	n.desk.hosts = n.hostCount
	n.forwarded.limit.Store(n.desk.pending.limit.Load())
	n.desk.maxValueBytes = direct.limits.maxValueBytes()
	n.desk.keys = newKeyGuard(n.suspendAwareUptime, log)
	n.desk.keys.configure(&settings.Limits)
	n.desk.leaderCanWrite = n.leaderCanWrite
	n.desk.currentLeader = func() string {
		if n.termWriter.Load() != nil {
			return n.address
		}
		address, _ := n.remoteLeader()
		return address
	}
	n.catcher = newReadCoalescer(func(ctx context.Context) {
		n.send(ctx, jobsRead{readOnce(ctx, n.storeReader, feed{partition: jobsPartition}, n.table.position())})
	})
	n.desk.requestCatchUp = n.catcher.request
	n.desk.storeReachable = func() bool { return n.storeReader.answeredWithin(maxStoreSilence) }
	return n
}

// Reader returns the reader that serves other nodes: jobs come from the leader's
// own view while it is fresh, everything else from the store.
func (n *Node) Reader() store.Reader { return &peerReadServer{n} }

// HandleStepDown records that the leader with the given token steps down.
func (n *Node) HandleStepDown(token int64) { n.trySend(leaderSteppedDown{token}) }

// trySend queues an event for the control goroutine and drops it if the queue is
// full.
func (n *Node) trySend(ev any) {
	select {
	case n.events <- ev:
	default:
	}
}

func (n *Node) peerAddresses() []string {
	if p := n.peerAddrs.Load(); p != nil {
		return *p
	}
	return nil
}

// writeAtLeader writes a caller's record through the leader. It returns false if
// the record was not written and never will be.
func (n *Node) writeAtLeader(ctx context.Context, r store.Record) (bool, error) {
	records := []store.Record{r}
	if n.termWriter.Load() != nil {
		return n.AppendRecords(ctx, records)
	}
	h, ok := n.remoteLeader()
	if !ok {
		return false, nil
	}
	done, err := n.deps.Peers.AppendRecords(ctx, h, records)
	if connectionRefused(err) {
		n.trySend(leaderUnreachable{h})
		return false, nil // the request was never sent
	}
	return done, err
}

// assumedHosts is the number of hosts while it is not known.
const assumedHosts = 32

// hostCount returns how many hosts the system has.
func (n *Node) hostCount() int {
	if known := len(n.Members()); known > 0 {
		return known
	}
	return assumedHosts
}

// connectionRefused reports whether no connection was made because it was refused. An
// open connection, over which a request may have been sent, fails with the same error
// number after an ICMP error.
func connectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(op, syscall.ECONNREFUSED)
}

// remoteLeader returns the address of the leader, and false if it is unknown or
// this node.
func (n *Node) remoteLeader() (string, bool) {
	h := n.leaderAddr.Load()
	if h == nil || *h == "" || *h == n.address {
		return "", false
	}
	return *h, true
}

// CanWrite reports whether this node writes callers' records and the store has
// answered it recently, so that queued records are on their way to the store.
func (n *Node) CanWrite() bool {
	return n.termWriter.Load() != nil && n.storeReader.answeredWithin(maxStoreAnswerAge)
}

// maxStoreAnswerAge is the maximum age of the store's last answer to a read for
// CanWrite.
const maxStoreAnswerAge = 1200 * time.Millisecond

// leaderCanWrite asks the leader whether it can write, see CanWrite.
func (n *Node) leaderCanWrite(ctx context.Context) bool {
	if n.termWriter.Load() != nil {
		return n.CanWrite()
	}
	h, ok := n.remoteLeader()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, canWriteTimeout)
	defer cancel()
	writes, err := n.deps.Peers.CanWrite(ctx, h)
	return err == nil && writes
}

// canWriteTimeout bounds the leader's answer to CanWrite.
const canWriteTimeout = 150 * time.Millisecond

// Desk returns the API for callers' requests.
func (n *Node) Desk() intake.Service { return n.desk }

// ConnectionLimits returns the operators' limits of callers' connections.
func (n *Node) ConnectionLimits() workflow.ConnectionLimits {
	if cat := n.desk.catalog.Load(); cat != nil {
		return cat.Connections
	}
	return workflow.ConnectionLimits{}
}

// uptime is the monotonic time since the process started.
func (n *Node) uptime() time.Duration { return time.Since(n.startedAt) }

// Intervals and long-poll times of the reads of the feeds.
const (
	// jobsPollInterval bounds how far a node's view of the jobs lags behind the
	// leader's.
	jobsPollInterval = 100 * time.Millisecond
	// leaderJobsPollInterval bounds how far the leader lags behind direct writes of
	// other nodes while it writes itself. leaderJobsReadWait is how long its reads
	// wait otherwise; it must be well below maxLeaderViewAge.
	leaderJobsPollInterval = 120 * time.Millisecond
	leaderJobsReadWait     = 300 * time.Millisecond
	leadershipPollInterval = 50 * time.Millisecond
	// slowLeadershipPollInterval is used by nodes that are not takeover candidates. It
	// must also be well below the leader's silence timeout.
	slowLeadershipPollInterval = 700 * time.Millisecond
	operatorsPollInterval      = 50 * time.Millisecond
	workersPollInterval        = 600 * time.Millisecond
	membersPollInterval        = 3 * time.Second
	// membersReadWait is long because nodes rarely join or leave.
	membersReadWait = 10 * time.Second
	// leadershipReadWait is the long-poll time of leadership reads. It must be well
	// below the leader's silence timeout.
	leadershipReadWait = time.Second
	jobsReadWait       = 500 * time.Millisecond
	// operatorsReadWait is short enough to notice that the store is unreachable.
	operatorsReadWait = 700 * time.Millisecond
)

// Run follows the store and, while this node is the leader, dispatches tasks. It
// returns when the context ends.
func (n *Node) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	every := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	n.followFeed(ctx, feed{partition: jobsPartition, wait: jobsReadWait, interval: n.jobsPollPause, reader: newJobLogReader(n), loadAll: newViewLoader(n).load, position: n.table.position, endSeenAt: n.table.endSeen}, func(r readResult) any { return jobsRead{r} })
	n.followFeed(ctx, feed{partition: tenurePartition, wait: leadershipReadWait, interval: n.leadershipPollPause}, func(r readResult) any { return leadershipRead{r} })
	n.followFeed(ctx, feed{partition: n.deps.Feeds.Operators, wait: operatorsReadWait, interval: every(operatorsPollInterval), clock: n.suspendAwareUptime}, func(r readResult) any { return operatorsRead{r} })
	n.followFeed(ctx, feed{partition: n.deps.Feeds.Workers, interval: every(workersPollInterval), termToken: n.termToken.Load}, func(r readResult) any { return workersRead{r} })
	n.followFeed(ctx, feed{partition: memberPartition, wait: membersReadWait, interval: every(membersPollInterval)}, func(r readResult) any { return membersRead{r} })
	go n.storeReader.probe(ctx)
	go n.desk.directWriter.run(ctx)
	go n.catcher.run(ctx)
	go n.registerMember(ctx)
	n.controlLoop(ctx)
}

func (n *Node) leadershipPollPause() time.Duration {
	if n.isTakeoverCandidate() {
		return leadershipPollInterval
	}
	return slowLeadershipPollInterval
}

func (n *Node) jobsPollPause() time.Duration {
	if n.termToken.Load() != 0 {
		return leaderJobsPollInterval
	}
	return jobsPollInterval
}

func (n *Node) followFeed(ctx context.Context, f feed, wrap func(readResult) any) {
	name := n.viewName(f.partition)
	var active func() bool
	if f.termToken != nil {
		active = func() bool { return f.termToken() != 0 }
	}
	if f.reader == nil {
		f.reader = n.storeReader
	}
	go follow(ctx, f.reader, f, func(r readResult) {
		n.views.recordRead(name, active, r)
		n.send(ctx, wrap(r))
	})
}

// send queues an event for the control goroutine and waits for space until the
// context ends.
func (n *Node) send(ctx context.Context, ev any) {
	select {
	case n.events <- ev:
	case <-ctx.Done():
	}
}

// Reconfigure applies reloaded settings. The node's own names and addresses do not
// change.
func (n *Node) Reconfigure(ctx context.Context, settings Settings) {
	n.send(ctx, settingsChanged{settings})
}

// Leave releases leadership and refuses new requests. It returns when leadership
// has been released or the context ends.
func (n *Node) Leave(ctx context.Context) {
	n.desk.leaving.Store(true)
	close(n.leaveRequested)
	go n.registerMember(ctx)
	select {
	case <-n.leadershipReleased:
	case <-ctx.Done():
	}
}

// dispatchSettings returns the dispatcher's settings for a new term.
func (n *Node) dispatchSettings(token, offset int64) dispatch.Settings {
	limits := n.settings.Limits
	lease := min(limits.MaxLease, maxLease)
	previousLeaseBound := float64(tenure.DefaultTiming().Confidence+lease) / (1 - maxClockDrift)
	return dispatch.Settings{
		Token: token, TermOffset: offset, WorkerConnections: workerconn.Limit(n.leadership.LostLeaders(n.uptime())), Lease: lease, MaxLease: limits.MaxLease,
		PreviousLeaderBound: time.Duration(previousLeaseBound) + leaseMargin, ConfirmationTTL: tenure.DefaultTiming().Confidence,
		StopTimeout: limits.StopTimeout, RemoteFactor: limits.RemoteFactor, StatusRetention: limits.StatusRetention,
		MaxLiveTasks:     int(limits.MemoryMiB << 20 / liveTaskDivisor / liveTaskMemory),
		DeclaredRunTimes: n.settings.DeclaredRunTimes, MaxRunTimesBytes: newAppendLimits(&n.settings).maxRunTimesBytes(),
	}
}

const (
	// liveTaskMemory is what a task that has been started and isn't done takes at the leader, in
	// bytes, with its run and their entries; liveTaskDivisor is the share of the memory for them.
	liveTaskMemory  = 1 << 10
	liveTaskDivisor = 12
	// maxLease is the longest lease that the node requests.
	maxLease = 6 * time.Second
	// maxClockDrift is the fraction by which a worker's monotonic clock may be slow.
	maxClockDrift = 0.02
	// leaseMargin is added to the bound on former leases for orders in transit.
	leaseMargin = 300 * time.Millisecond
)
