package entry

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/routing"
	"github.com/mimosaspool/mimosaspool/internal/settings"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// flags are the program's settings.
type flags struct {
	settings.HostOptions
	Schedulers []string      `flag:"scheduler-urls" validate:"required,dive,url"`
	Entries    []string      `flag:"entries"`
	KeysSince  string        `flag:"keys-since" validate:"omitempty,datetime=2006-01-02T15:04:05Z07:00"`
	Grace      time.Duration `flag:"grace" validate:"min=0"`
}

// Timeouts and intervals of the program.
const (
	// controlTimeout bounds a control message. It exceeds maxSyncWait, the longest
	// wait for a directory update.
	controlTimeout = 5 * time.Second
	// refusePeriod is how long new requests are refused before the listener
	// closes.
	refusePeriod      = time.Second
	drainPollInterval = 50 * time.Millisecond
	// keysSinceMargin is how long before the keys-since time a process must have
	// started to rely on that time, since clocks differ between hosts.
	keysSinceMargin = 2 * time.Second
)

// Main runs the program and returns its exit code.
func Main() int {
	var f flags
	cmd := settings.Command("mimosaspool-entry", "Carry callers' requests to runners", func(ctx context.Context) error {
		return run(ctx, f, f.routingSettings())
	})
	f.AddFlags(cmd, "callers")
	cmd.Flags().StringSliceVar(&f.Schedulers, "scheduler-urls", nil, "base URLs of the domain's schedulers")
	cmd.Flags().StringSliceVar(&f.Entries, "entries", nil, "all entries, each as HOST=REGION/DOMAIN/IP:PORT")
	cmd.Flags().StringVar(&f.KeysSince, "keys-since", "", "time (RFC 3339) before which this domain took no request with an idempotency key")
	cmd.Flags().DurationVar(&f.Grace, "grace", 3*time.Second, "how long a stopping entry goes on taking requests while not ready")
	return settings.Execute(cmd, &f)
}

// Check implements settings.Checker.
func (f *flags) Check() []settings.Problem {
	var problems []settings.Problem
	listed := len(f.Entries) == 0
	for _, text := range f.Entries {
		p, ok := parsePeer(text)
		if !ok {
			problems = append(problems, settings.Problem{Flag: "entries", Value: text, Requirement: "must be HOST=REGION/DOMAIN/IP:PORT"})
		}
		listed = listed || p.Host == f.Host && p.Domain == f.Domain
	}
	if !listed {
		problems = append(problems, settings.Problem{Flag: "entries", Value: strings.Join(f.Entries, ","), Requirement: "must contain this host in this domain"})
	}
	return problems
}

// routingSettings returns the settings of the routing core.
func (f flags) routingSettings() routing.Settings {
	started := time.Now()
	set := routing.Settings{
		Host: f.Host, Incarnation: strconv.FormatInt(started.UnixNano(), 36), Domain: f.Domain, Region: f.Region,
		Seed: uint64(started.UnixNano()), Timing: routing.DefaultTiming(),
	}
	for _, text := range f.Entries {
		p, _ := parsePeer(text)
		set.Peers = append(set.Peers, p)
	}
	if since, err := time.Parse(time.RFC3339, f.KeysSince); err == nil {
		set.NewDomain = started.Before(since.Add(-keysSinceMargin))
		set.AcceptKeysFrom = max(0, since.Sub(started))
	}
	return set
}

func parsePeer(text string) (routing.Peer, bool) {
	host, location, ok := strings.Cut(text, "=")
	parts := strings.Split(location, "/")
	if !ok || host == "" || len(parts) != 3 || parts[0] == "" || parts[1] == "" || !strings.Contains(parts[2], ":") {
		return routing.Peer{}, false
	}
	return routing.Peer{Host: host, Region: parts[0], Domain: parts[1], Address: parts[2]}, true
}

func run(parent context.Context, f flags, set routing.Settings) error {
	lifecycle.LimitMemory(f.MemoryMiB)
	lifecycle.TuneGC()
	tel, err := telemetry.New("entry")
	if err != nil {
		return err
	}
	defer tel.Close()
	e, err := New(Options{
		Core: set, Schedulers: f.Schedulers, Client: platform.NewHTTPClient(controlTimeout), Telemetry: tel, Logger: f.Logger(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := lifecycle.SignalContext(parent, e.logCutOff)
	defer cancel()
	return e.serveUntil(ctx, f.Listen, f.Grace, tel.Handler(), f.MemoryMiB)
}

// serveUntil serves until ctx has ended and nothing is in flight.
func (e *Entry) serveUntil(ctx context.Context, listen string, grace time.Duration, metrics http.Handler, memoryMiB int64) error {
	r := lifecycle.Router(func() bool { return e.Ready() && ctx.Err() == nil }, metrics).SkipClean(true).UseEncodedPath()
	e.Register(r)
	base := context.WithoutCancel(ctx)
	stop := e.Start(base)
	serving, stopServing := context.WithCancel(base)
	defer stopServing()
	served := make(chan error, 1)
	opt := lifecycle.ServeOptions{MemoryMiB: memoryMiB, Streaming: true, RefusalHeader: refusalHeader,
		Count: func(kind, reason string) { e.opt.Telemetry.Count(kind, reason, 1) }}
	go func() { served <- lifecycle.Serve(serving, listen, r, opt) }()
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
		err = e.drain(grace, stopServing, served)
	}
	stop()
	return err
}

// refusalHeader returns the headers of a refusal of a request that no handler has seen.
func refusalHeader(reason string) http.Header {
	return http.Header{headerOutcome: {outcomeNotRun}, headerReason: {reason}}
}

// drain stops accepting requests and waits for those in flight.
func (e *Entry) drain(grace time.Duration, stopServing func(), served <-chan error) error {
	e.opt.Logger.WithField("grace", grace.String()).Info("stopping: not ready, still taking requests")
	time.Sleep(grace)
	e.post(routing.Drain{})
	time.Sleep(refusePeriod)
	stopServing()
	err := <-served
	for requests := 1; requests > 0; time.Sleep(drainPollInterval) {
		if !e.withCore(func(c *routing.Core) { requests, _ = c.InFlight() }) {
			break
		}
	}
	e.opt.Logger.Info("stopped: nothing was in flight")
	return err
}

// logCutOff logs what a second signal cuts off.
func (e *Entry) logCutOff() {
	e.opt.Logger.WithFields(logrus.Fields{"requests": e.openRequests.Load(), "slots": e.usedSlots.Load()}).Warn("stopped at once; requests in flight were cut off")
	_ = os.Stderr.Sync()
}
