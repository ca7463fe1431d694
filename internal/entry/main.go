package entry

import (
	"context"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// flags are the program's settings.
type flags struct {
	Host       string   `flag:"host" validate:"required"`
	Region     string   `flag:"region" validate:"required"`
	Domain     string   `flag:"domain" validate:"required"`
	Listen     string   `flag:"listen" validate:"required,hostname_port"`
	Schedulers []string `flag:"scheduler-urls" validate:"required,dive,url"`
}

// callTimeout bounds a call to a scheduler; it is above the longest wait for news.
const callTimeout = 5 * time.Second

// Main runs the program and returns its exit code.
func Main() int {
	var f flags
	cmd := &cobra.Command{
		Use:   "mimosaspool-entry",
		Short: "Carry callers' requests to runners",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Validate(f); err != nil {
				return err
			}
			return run(cmd.Context(), f)
		},
	}
	cmd.Flags().StringVar(&f.Host, "host", "", "name of this entry host")
	cmd.Flags().StringVar(&f.Region, "region", "", "region of this host")
	cmd.Flags().StringVar(&f.Domain, "domain", "", "failure domain of this host")
	cmd.Flags().StringVar(&f.Listen, "listen", "", "address to serve callers on, host:port")
	cmd.Flags().StringSliceVar(&f.Schedulers, "scheduler-urls", nil, "base URLs of the domain's schedulers")
	return settings.Execute(cmd)
}

func run(parent context.Context, f flags) error {
	ctx, cancel := lifecycle.Signals(parent, func() { logrus.Warn("stopped at once; requests in flight were cut off") })
	defer cancel()
	e := New(Options{Host: f.Host, Domain: f.Domain, Schedulers: f.Schedulers, Client: platform.NewHTTPClient(callTimeout)})
	r := mux.NewRouter()
	lifecycle.AddHealth(r, e.Ready)
	e.Register(r)
	go e.Run(ctx)
	return lifecycle.Serve(ctx, f.Listen, r)
}
