package node

import (
	"context"
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
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Peers asks other nodes. Its methods may be called concurrently.
type Peers interface {
	// Advise has the node at the address ask the policy service.
	Advise(ctx context.Context, address string, step workflow.StepID, workers []string) (worker.Approvals, error)
	// Record has the node at the address write the records, as Node.Record
	// does. After an error it is not known whether they were or will be written.
	Record(ctx context.Context, address string, records []store.Record) (bool, error)
	// Writes reports whether the node at the address holds the right to place
	// and the store has answered it lately.
	Writes(ctx context.Context, address string) (bool, error)
	// Yield tells the node at the address that the holder of the token gives the right up.
	Yield(ctx context.Context, address string, token int64) error
	// Reader returns the store as the node at the address reads it.
	Reader(address string) store.Reader
	// Follow reads the log of jobs from the memory of the node at the address,
	// as Node.Followed does. After an error nothing was read.
	Follow(ctx context.Context, address string, from int64, wait time.Duration) (store.Batch, error)
}

// Ports are what the node speaks to the world by.
type Ports struct {
	Store   store.Store
	Workers worker.Client
	// Adviser may be nil where there is no policy service.
	Adviser worker.PolicyClient
	Peers   Peers
	Feeds   Feeds
	// Machines may be nil where machines are none of the product's business.
	Machines worker.MachineClient
	// BootTime is a clock that also counts the time in which the host was
	// suspended; nil where it never is.
	BootTime func() time.Duration
	// Count adds one to the counter of a kind and reason.
	Count func(kind, reason string)
	// Observe adds a duration to the histogram of the name.
	Observe func(name string, d time.Duration)
}

// Node is one host's process. Run may be called once.
type Node struct {
	set   Settings
	ports Ports
	log   logrus.FieldLogger
	desk  *desk
	table *table
	start time.Time
	// tenure, members and dispatcher belong to the control goroutine.
	tenure  *tenure.Election
	members *members
	term    *term
	events  chan any
	// writer is the holder's, or nil.
	writer atomic.Pointer[writer]
	// holder is the address of the holder of the right, as far as it is known.
	holder atomic.Pointer[string]
	// others are the addresses of the other nodes, the holder's first.
	others atomic.Pointer[[]string]
	reader *relay
	recent *recent
	// holding is the token of this node's term, or 0.
	holding atomic.Int64
	address string
	leave   chan struct{}
	left    chan struct{}
	views   *views
	// membership is published for all goroutines.
	membership atomic.Pointer[[]Member]
	// readers is published for the goroutine that follows the log of jobs.
	readers atomic.Pointer[readers]
	// direct tells that this node has read the log of jobs at the holder or the
	// store, and not through another node of its domain.
	direct    atomic.Bool
	inspector inspector
	pages     pages
	// bulkSources is published for the goroutine that reads the log of jobs.
	bulkSources atomic.Pointer[bulkSources]
	// membersRead is closed when the other nodes are known.
	membersRead chan struct{}
	catcher     *catcher
	// waves are the operators' waves, by the keys of their records.
	waves map[string]askedWave
}

// eventQueue is how many events may wait for the control goroutine.
const eventQueue = 4096

// New returns a node. address is where its peers reach it; incarnation tells
// this process from earlier ones of the same node; delay is as of ClaimDelay.
func New(set Settings, ports Ports, log logrus.FieldLogger, address, incarnation string, delay time.Duration) *Node {
	t := newTable()
	n := &Node{
		set: set, ports: ports, log: log, table: t, start: time.Now(),
		tenure:  tenure.New(tenure.DefaultTiming(), set.Node, incarnation, delay),
		members: newMembers(set.Node), events: make(chan any, eventQueue), address: address,
		leave: make(chan struct{}), left: make(chan struct{}), views: newViews(log), recent: newRecent(),
		membersRead: make(chan struct{}),
	}
	n.bulkSources.Store(&bulkSources{})
	n.readers.Store(&readers{})
	n.reader = newRelay(ports.Store, ports.Peers, n.otherAddresses, ports.Count)
	n.deferClaims(nil)
	n.inspector.latest.Store(&Inspection{next: make(chan struct{})})
	direct := newWriter(ports.Store, 0, set.MaxRequestBytes, n.reader, log, ports.Count, nil)
	n.desk = newDesk(direct, t, ports.Count, n.recordAtHolder)
	n.desk.holderWrites = n.holderWrites
	n.catcher = newCatcher(func(ctx context.Context) {
		n.send(ctx, jobsRead{readOnce(ctx, n.reader, feed{partition: jobsPartition}, n.table.position())})
	})
	n.desk.catchUp = n.catcher.ask
	n.desk.storeAnswers = func() bool { return n.reader.answered(storeSilence) }
	return n
}

// Reader reads for other nodes: jobs from the holder's own view while it is
// fresh, all else from the store.
func (n *Node) Reader() store.Reader { return &served{n} }

// Yielded takes note that the holder of the token gives the right up.
func (n *Node) Yielded(token int64) { n.tryout(yielded{token}) }

// tryout hands an event to the control goroutine unless its queue is full.
func (n *Node) tryout(ev any) {
	select {
	case n.events <- ev:
	default:
	}
}

func (n *Node) otherAddresses() []string {
	if p := n.others.Load(); p != nil {
		return *p
	}
	return nil
}

// recordAtHolder has the holder of the right write a caller's record; done is
// false if surely nothing was written and never will be.
func (n *Node) recordAtHolder(ctx context.Context, r store.Record) (bool, error) {
	records := []store.Record{r}
	if n.writer.Load() != nil {
		return n.Record(ctx, records)
	}
	h, ok := n.holderAddress()
	if !ok {
		return false, nil
	}
	done, err := n.ports.Peers.Record(ctx, h, records)
	if errors.Is(err, syscall.ECONNREFUSED) {
		n.tryout(holderAbsent{h})
		return false, nil // it was never sent
	}
	return done, err
}

// holderAddress returns where the holder of the right answers, if that is
// another node.
func (n *Node) holderAddress() (string, bool) {
	h := n.holder.Load()
	if h == nil || *h == "" || *h == n.address {
		return "", false
	}
	return *h, true
}

// Writes reports whether this node writes callers' records and the store has
// answered it lately: what was handed to it is on its way then.
func (n *Node) Writes() bool { return n.writer.Load() != nil && n.reader.answered(answerBound) }

// answerBound is how old the store's last answer to a read may be for that.
const answerBound = 1200 * time.Millisecond

// holderWrites asks the holder of the right the same.
func (n *Node) holderWrites(ctx context.Context) bool {
	if n.writer.Load() != nil {
		return n.Writes()
	}
	h, ok := n.holderAddress()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writesTimeout)
	defer cancel()
	writes, err := n.ports.Peers.Writes(ctx, h)
	return err == nil && writes
}

// writesTimeout bounds the holder's answer to that.
const writesTimeout = 150 * time.Millisecond

// Desk takes callers' requests.
func (n *Node) Desk() intake.Service { return n.desk }

// now is the steady time since the process started.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// The pauses between reads of the feeds.
const (
	// viewPause bounds how far a node's view of the jobs lags behind the holder's.
	viewPause = 100 * time.Millisecond
	// holderPause is how far the holder lags behind what others write directly
	// while it writes itself; holderWait is how long its reads wait otherwise,
	// well below servedBound.
	holderPause = 120 * time.Millisecond
	holderWait  = 300 * time.Millisecond
	tenurePause = 50 * time.Millisecond
	// distantTenurePause is the same on nodes that aren't among the first to
	// take over; it must be well below the tenure's silence too.
	distantTenurePause = 700 * time.Millisecond
	operatorPause      = 50 * time.Millisecond
	workersPause       = 600 * time.Millisecond
	membersPause       = 3 * time.Second
	// membersWait is long, as members come and go seldom.
	membersWait = 10 * time.Second
	// tenureWait is how long a read of the tenure waits; it must be well below its silence.
	tenureWait = time.Second
	jobsWait   = 500 * time.Millisecond
	// operatorWait is short enough to notice that the store is out of reach.
	operatorWait = 700 * time.Millisecond
)

// Run follows the store and dispatches while this node holds the right, until
// the context ends.
func (n *Node) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	every := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	n.follow(ctx, feed{partition: jobsPartition, wait: jobsWait, pause: n.jobsPause, reader: newViewReader(n), whole: newBulk(n).read, position: n.table.position, endSeen: n.table.endSeen}, func(r reading) any { return jobsRead{r} })
	n.follow(ctx, feed{partition: tenurePartition, wait: tenureWait, pause: n.tenurePause}, func(r reading) any { return tenureRead{r} })
	n.follow(ctx, feed{partition: n.ports.Feeds.Operators, wait: operatorWait, pause: every(operatorPause)}, func(r reading) any { return operatorsRead{r} })
	n.follow(ctx, feed{partition: n.ports.Feeds.Workers, pause: every(workersPause), term: n.holding.Load}, func(r reading) any { return workersRead{r} })
	n.follow(ctx, feed{partition: memberPartition, wait: membersWait, pause: every(membersPause)}, func(r reading) any { return membersRead{r} })
	go n.reader.probe(ctx)
	go n.desk.direct.run(ctx)
	go n.catcher.run(ctx)
	go n.register(ctx)
	n.control(ctx)
}

func (n *Node) tenurePause() time.Duration {
	if n.followsClosely() {
		return tenurePause
	}
	return distantTenurePause
}

func (n *Node) jobsPause() time.Duration {
	if n.holding.Load() != 0 {
		return holderPause
	}
	return viewPause
}

func (n *Node) follow(ctx context.Context, f feed, wrap func(reading) any) {
	name := n.viewName(f.partition)
	var active func() bool
	if f.term != nil {
		active = func() bool { return f.term() != 0 }
	}
	if f.reader == nil {
		f.reader = n.reader
	}
	go follow(ctx, f.reader, f, func(r reading) {
		n.views.note(name, active, r)
		n.send(ctx, wrap(r))
	})
}

// send hands an event to the control goroutine.
func (n *Node) send(ctx context.Context, ev any) {
	select {
	case n.events <- ev:
	case <-ctx.Done():
	}
}

// Reconfigure takes in reloaded settings. Names and addresses of the node
// itself stay as they were.
func (n *Node) Reconfigure(ctx context.Context, set Settings) { n.send(ctx, settingsChanged{set}) }

// Leave gives the right back and refuses new callers; it returns when the
// right is given back or the context ends.
func (n *Node) Leave(ctx context.Context) {
	n.desk.leaving.Store(true)
	close(n.leave)
	go n.register(ctx)
	select {
	case <-n.left:
	case <-ctx.Done():
	}
}

// dispatchSettings returns the settings of a dispatcher that begins a term.
func (n *Node) dispatchSettings(token, offset int64) dispatch.Settings {
	l := n.set.Limits
	lease := min(l.MaxLease, maxLease)
	former := float64(tenure.DefaultTiming().Confidence+lease) / (1 - clockDrift)
	return dispatch.Settings{
		Token: token, TermOffset: offset, Lease: lease, MaxLease: l.MaxLease,
		PreviousLeaderBound: time.Duration(former) + leaseSlack, ConfirmationTTL: tenure.DefaultTiming().Confidence,
		StopTimeout: l.StopTimeout, RemoteFactor: l.RemoteFactor, StatusRetention: l.StatusRetention,
	}
}

const (
	// maxLease is the longest lease that is asked for.
	maxLease = 6 * time.Second
	// clockDrift is by how much a worker's steady clock may be slow.
	clockDrift = 0.02
	// leaseSlack is added to the bound on former leases for the orders' way.
	leaseSlack = 300 * time.Millisecond
)
