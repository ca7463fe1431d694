package standin

import (
	"context"
	"time"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// flags are the program's settings.
type flags struct {
	Listen   string        `flag:"listen" validate:"required,hostname_port"`
	Site     string        `flag:"site" validate:"oneof=tallowood agency"`
	Domains  []string      `flag:"domains" validate:"required"`
	Appends  int           `flag:"log-appends" validate:"min=1"`
	Records  int           `flag:"log-records" validate:"min=0"`
	Age      time.Duration `flag:"log-age" validate:"min=0"`
	HostsLag time.Duration `flag:"hosts-lag" validate:"min=0"`
}

// sites holds the workers of each known site.
var sites = map[string][]Group{
	"tallowood": {
		{Name: "survey", Count: 35, PerRack: 5, Capacity: &api.Resources{MilliCpu: 32000, MemoryMib: 128 << 10}},
		{Name: "imaging", Count: 13, PerRack: 3, Capacity: &api.Resources{MilliCpu: 128000, MemoryMib: 512 << 10, Accelerators: 8}},
	},
	"agency": {
		{Name: "dispatch", Count: 35, PerRack: 5, Capacity: &api.Resources{MilliCpu: 64000, MemoryMib: 256 << 10}},
		{Name: "imaging", Count: 13, PerRack: 3, Capacity: &api.Resources{MilliCpu: 64000, MemoryMib: 128 << 10, Accelerators: 8}},
	},
}

// memoryMiB bounds what the clients of the stand-in can make it hold, in mebibytes.
const memoryMiB = 1024

// Main runs the program and returns its exit code.
func Main() int {
	var f flags
	cmd := settings.Command("mimosaspool-standin", "Serve a test stand-in for the platform", func(ctx context.Context) error {
		return run(ctx, f)
	})
	settings.AddListenFlag(cmd, &f.Listen, "the log and the list of hosts")
	cmd.Flags().StringVar(&f.Site, "site", "tallowood", "whose workers to serve: tallowood or agency")
	cmd.Flags().StringSliceVar(&f.Domains, "domains", nil, "names of the failure domains")
	cmd.Flags().IntVar(&f.Appends, "log-appends", 300, "appends a second that the log takes")
	cmd.Flags().IntVar(&f.Records, "log-records", 100000, "records that the log keeps; 0 keeps all")
	cmd.Flags().DurationVar(&f.Age, "log-age", time.Hour, "how long the log keeps a record; 0 is for good")
	cmd.Flags().DurationVar(&f.HostsLag, "hosts-lag", 2*time.Second, "how far the list of hosts lags")
	return settings.Execute(cmd, &f)
}

func run(parent context.Context, f flags) error {
	ctx, cancel := lifecycle.SignalContext(parent, func() {})
	defer cancel()
	s := NewSite(SiteOptions{
		Log:      LogLimits{AppendsPerSecond: f.Appends, Records: f.Records, Age: f.Age},
		HostsLag: f.HostsLag,
	})
	defer s.Close()
	for _, g := range sites[f.Site] {
		if err := s.AddGroup(g, f.Domains); err != nil {
			return err
		}
	}
	go s.Run(ctx)
	r := lifecycle.Router(func() bool { return true }, nil)
	s.Register(r)
	s.registerPlatform(r, "direct")
	return lifecycle.Serve(ctx, f.Listen, r, lifecycle.ServeOptions{MemoryMiB: memoryMiB})
}
