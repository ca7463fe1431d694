package schedulerd

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/settings"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// flags are the program's settings.
type flags struct {
	settings.HostOptions
	Platform string   `flag:"platform-url" validate:"required,url"`
	Peers    []string `flag:"peer-urls" validate:"dive,url"`
	Record   string   `flag:"record"`
}

// callTimeout bounds a call to the platform or a peer; it is above the longest wait for news.
const callTimeout = 5 * time.Second

// maxBody bounds the bytes of one request.
const maxBody = 8 << 20

// Main runs the program and returns its exit code.
func Main() int {
	var f flags
	cmd := settings.Command("mimosaspool-scheduler", "Place tasks on the workers of one failure domain", func(ctx context.Context) error {
		return run(ctx, f)
	})
	f.AddFlags(cmd, "entries, peers and operators")
	cmd.Flags().StringVar(&f.Platform, "platform-url", "", "base URL of the platform's log and list of hosts")
	cmd.Flags().StringSliceVar(&f.Peers, "peer-urls", nil, "base URLs of the other schedulers")
	cmd.Flags().StringVar(&f.Record, "record", "", "file to record the core's events in, for mimosaspool-replay")
	return settings.Execute(cmd, &f)
}

func run(parent context.Context, f flags) error {
	lifecycle.TuneControlProcess()
	log := f.Logger()
	ctx, cancel := lifecycle.SignalContext(parent, func() { log.Warn("stopped at once; the tenure was not released") })
	defer cancel()
	t, err := telemetry.New("mimosaspool-scheduler")
	if err != nil {
		return err
	}
	defer t.Close()
	client := platform.NewHTTPClient(callTimeout)
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	set := scheduler.DefaultSettings(f.Host, incarnation, f.Domain)
	record, closeRecord, err := recorder(f.Record, set)
	if err != nil {
		return err
	}
	defer closeRecord()
	d := New(Options{
		Settings: set,
		Record:   record,
		Region:   f.Region,
		Peers:    f.Peers,
		Log:      platform.NewLog(f.Platform, client),
		Tenure:   platform.NewPartition(f.Platform, platform.TenurePartition(f.Domain), client),
		Hosts:    platform.NewHosts(f.Platform, client),
		Workers:  platform.NewWorkers(client),
		Client:   client,
		Logger:   log,
		Count:    t.Count,
	})
	if err := observe(t, d); err != nil {
		return err
	}
	r := lifecycle.Router(d.Ready, t.Handler())
	d.Register(func(prefix string, h http.Handler) { r.PathPrefix(prefix).Handler(h) })
	served := make(chan error, 1)
	opt := lifecycle.ServeOptions{MemoryMiB: f.MemoryMiB, Count: func(kind, reason string) { t.Count(kind, reason, 1) }}
	go func() { served <- lifecycle.Serve(ctx, f.Listen, http.MaxBytesHandler(r, maxBody), opt); cancel() }()
	d.Run(ctx)
	return <-served
}
