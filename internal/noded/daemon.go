package noded

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	operators "github.com/mimosaspool/mimosaspool/api/operator"
	api "github.com/mimosaspool/mimosaspool/api/peer"
	"github.com/mimosaspool/mimosaspool/internal/console"
	"github.com/mimosaspool/mimosaspool/internal/ingress"
	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
	"github.com/mimosaspool/mimosaspool/internal/logging"
	"github.com/mimosaspool/mimosaspool/internal/node"
	"github.com/mimosaspool/mimosaspool/internal/peer"
	"github.com/mimosaspool/mimosaspool/internal/settings"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// noticeTime is how long the balancer takes to see that a node isn't ready.
	noticeTime = 2500 * time.Millisecond
	// finishTime bounds the wait for requests in flight after that.
	finishTime = 2 * time.Second
	// headerTimeout and maxHeaderBytes bound request heads, idleTimeout a silent
	// connection, where the operators state no limits and at the servers that do not serve
	// callers.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16384
	// flushTime bounds the wait for the last log lines to be read.
	flushTime = 300 * time.Millisecond
	// recentBytes is how much of the newest log lines is kept for explain.
	recentBytes = 512 << 10
	// memoryShare is the share of the memory limit that the heap may take.
	memoryShare = 0.7
)

type daemon struct {
	platform  *Platform
	node      *node.Node
	telemetry *telemetry.Telemetry
	clients   clientOptions
	gate      *ingress.Gate
	log       logrus.FieldLogger
	lines     *logging.Writer
	budget    int
	internal  string
	metrics   string
}

func newDaemon(p *Platform, opt options) (*daemon, error) {
	set := p.Settings
	set.DeclaredRunTimes = opt.RunTimes == "declared"
	tune(set)
	t, err := telemetry.New("mimosaspool-node")
	if err != nil {
		return nil, err
	}
	fields := logrus.Fields{"node": set.Node, "domain": set.Domain}
	// A reader of the log that goes away must not end the program.
	signal.Ignore(syscall.SIGPIPE)
	lines := logging.Install(logrus.StandardLogger(), os.Stdout, logging.Settings{
		LinesPerSecond: opt.LogBudget, FlushDelay: logging.DefaultFlushDelay, RecentBytes: recentBytes, Fields: fields,
		OnDrop: func(reason string) { t.Count("log", reason, 1) },
	})
	log := logrus.WithFields(fields)
	internal := net.JoinHostPort(set.Host, strconv.Itoa(set.InternalPorts[0]))
	ports := p.Ports
	ports.Peers = peer.NewClient(p.PeerTransport)
	ports.Count = func(kind, reason string) { t.Count(kind, reason, 1) }
	ports.Observe = t.Observe
	ports.ProcessorTime = processorTime
	ports.Store = measuredStore{ports.Store, t.Observe}
	if p.ObserveWorkerConnections != nil {
		p.ObserveWorkerConnections(connectionObserver{count: ports.Count, log: log})
	}
	d := &daemon{platform: p, telemetry: t, log: log, lines: lines, budget: opt.LogBudget, internal: internal}
	if opt.MetricsPort > 0 {
		d.metrics = net.JoinHostPort(set.Host, strconv.Itoa(opt.MetricsPort))
	}
	set.Limits.MaxPendingBytes, set.Limits.MaxJobBytes = opt.clients.PendingBytes, opt.clients.JobBytes
	d.node = node.New(set, ports, log, internal, uuid.NewString(), node.ClaimDelay(set.Node))
	d.clients = opt.clients
	d.gate = d.newGate("callers", opt.clients.bounds(set.Limits), d.node.ConnectionLimits)
	return d, t.RegisterNodeGauges(telemetry.NodeState{ViewAges: d.node.ViewAges, IsLeader: d.node.IsLeader, IsReady: d.node.Desk().Ready})
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// tune keeps the runtime within the host's limits.
func tune(set node.Settings) {
	runtime.GOMAXPROCS(1)
	if set.Limits.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(float64(set.Limits.MemoryMiB<<20) * memoryShare))
	}
}

// serve runs the node and its servers until a planned stop or a failure.
func (d *daemon) serve(parent context.Context, hangups <-chan os.Signal) error {
	defer d.lines.Close(flushTime)
	stop, cancelStop := lifecycle.SignalContext(parent, func() {
		d.log.Warn("stopped at once")
		d.lines.Close(flushTime)
	})
	defer cancelStop()
	run, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	go d.node.Run(run)
	go d.reload(run, hangups)
	servers, failed, err := d.listen(run)
	if err != nil {
		return err
	}
	d.log.WithFields(logrus.Fields{"version": settings.Version(), "log_budget": d.budget}).Info("started")
	select {
	case err := <-failed:
		d.log.WithError(err).Error("a server failed")
		return err
	case <-stop.Done():
	}
	d.log.Info("planned stop begins")
	leave, cancelLeave := context.WithTimeout(run, noticeTime)
	defer cancelLeave()
	d.node.Leave(leave)
	<-leave.Done()
	d.shutdown(servers)
	d.log.Info("stopped")
	return d.telemetry.Close()
}

// newGate returns a gate for a server; the name tells in the log which one it is. operators
// returns their limits.
func (d *daemon) newGate(name string, b ingress.Bounds, operators func() workflow.ConnectionLimits) *ingress.Gate {
	return ingress.New(ingress.Config{
		Bounds: b, Limits: func() ingress.Limits { return d.clients.limits(operators()) }, Refusal: d.platform.RefusalBody,
		Count: func(kind, reason string) { d.telemetry.Count(kind, reason, 1) }, Log: d.log.WithField("server", name),
	})
}

// listen opens the servers: callers, readiness, and the other nodes. Their gates run until the
// context ends.
func (d *daemon) listen(ctx context.Context) ([]*http.Server, <-chan error, error) {
	desk := desk{d.node.Desk()}
	callers := &requestLog{next: d.gate.Handler(d.platform.Callers(desk)), log: d.log, observe: d.telemetry.Observe, age: d.node.JobsViewAge}
	inner := mux.NewRouter()
	inner.Handle("/metrics", ingress.LimitRequests(maxOperatorRequests, d.telemetry.Handler()))
	inner.Path("/recent").Methods(http.MethodGet).Handler(ingress.LimitRequests(maxOperatorRequests, http.HandlerFunc(d.recent)))
	inner.PathPrefix(api.PeerPathPrefix).Handler(peer.Handler(d.node))
	inner.PathPrefix(operators.OperatorPathPrefix).Handler(ingress.LimitRequests(maxOperatorRequests, console.Handler(d.node, d.platform.PeerTransport, d.handed)))
	limits := d.platform.Settings.Limits
	answers := ingress.NewAnswerBudget(limits.MemoryMiB << 20 / answerMemoryDivisor)
	probes := d.newGate("readiness", probeBounds(limits), noOperatorLimits)
	peers := d.newGate("nodes", peerBounds(limits), noOperatorLimits)
	endpoints := []struct {
		addr    string
		gate    *ingress.Gate
		handler http.Handler
	}{
		{d.platform.Settings.CallersAddress, d.gate, callers},
		{d.platform.Settings.ReadyAddress, probes, probes.Handler(d.platform.Ready(desk))},
		{d.internal, peers, peers.Handler(http.MaxBytesHandler(answers.Handler(inner), maxPeerBodyBytes))},
	}
	failed := make(chan error, len(endpoints))
	var servers []*http.Server
	for _, e := range endpoints {
		if e.addr == "" {
			continue
		}
		s, l, err := open(ctx, e.addr, e.gate, e.handler)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		go func() { failed <- s.Serve(l) }()
	}
	if s := d.serveMetrics(ctx); s != nil {
		servers = append(servers, s)
	}
	return servers, failed, nil
}

func noOperatorLimits() workflow.ConnectionLimits { return workflow.ConnectionLimits{} }

// open listens on the address for a server of the handler behind a gate.
func open(ctx context.Context, addr string, gate *ingress.Gate, h http.Handler) (*http.Server, net.Listener, error) {
	l, err := gate.Listen(addr)
	if err != nil {
		return nil, nil, err
	}
	go gate.Run(ctx)
	return gate.Server(h), l, nil
}

// serveMetrics serves the metrics on the further port, if there is one. The
// platform doesn't promise that it is free, and a node serves callers without it.
func (d *daemon) serveMetrics(ctx context.Context) *http.Server {
	if d.metrics == "" {
		return nil
	}
	routes := http.NewServeMux()
	routes.Handle("/metrics", ingress.LimitRequests(maxOperatorRequests, d.telemetry.Handler()))
	gate := d.newGate("metrics", probeBounds(d.platform.Settings.Limits), noOperatorLimits)
	s, l, err := open(ctx, d.metrics, gate, gate.Handler(routes))
	if err != nil {
		d.metricsLost(err)
		return nil
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.metricsLost(err)
		}
	}()
	return s
}

func (d *daemon) metricsLost(err error) {
	d.log.WithError(err).WithField("address", d.metrics).Warn("metrics are served between nodes only")
}

// recent serves the newest log lines that have to do with a job: those that
// name it, and those that name none.
func (d *daemon) recent(w http.ResponseWriter, r *http.Request) {
	id := []byte(r.FormValue("job"))
	err := d.lines.Recent(w, func(line []byte) bool {
		return len(id) > 0 && bytes.Contains(line, id) || !bytes.Contains(line, []byte(`"job":`))
	})
	if err != nil {
		d.log.WithError(err).Debug("recent lines were not taken")
	}
}

// shutdown lets requests in flight finish.
func (d *daemon) shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.WithError(err).Warn("requests were still in flight")
		}
	}
}
