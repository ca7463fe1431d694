// Package noded is the program around a node: settings, logs, metrics, servers
// and a planned stop.
package noded

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/logging"
	"github.com/mimosaspool/mimosaspool/internal/node"
	"github.com/mimosaspool/mimosaspool/internal/settings"
	"github.com/mimosaspool/mimosaspool/internal/workerconn"
)

// Platform is what the program needs of the platform that it runs on.
type Platform struct {
	Settings node.Settings
	// Reload reads the settings again and applies what concerns the ports. It
	// tells whether anything has changed.
	Reload func() (node.Settings, bool, error)
	// Ports are complete but for Peers, Count and Observe.
	Ports node.Dependencies
	// PeerTransport carries calls between nodes.
	PeerTransport http.RoundTripper
	// Callers and Ready serve callers and the platform's balancer.
	Callers, Ready func(intake.Service) http.Handler
	// RefusalBody returns the content type and body of a refusal that is made before a
	// request reaches Callers.
	RefusalBody func(reason string) (contentType string, body []byte)
	// ObserveWorkerConnections sets the observer of the connections to workers. It may be nil.
	ObserveWorkerConnections func(workerconn.Observer)
}

// Connect reads the settings that the platform has laid down and opens its
// ports. Its error names all bad settings.
type Connect func() (*Platform, error)

type options struct {
	LogLevel    string `flag:"log-level" validate:"oneof=error warning info debug"`
	LogBudget   int    `flag:"log-budget" validate:"min=0"`
	MetricsPort int    `flag:"metrics-port" validate:"min=0,max=65535"`
	RunTimes    string `flag:"run-times" validate:"oneof=learned declared"`
	clients     clientOptions
}

// Main runs the program and returns its exit code.
func Main(connect Connect) int {
	var opt options
	cmd := &cobra.Command{
		Use:   "mimosaspool-node",
		Short: "Run one host: take callers' jobs, and dispatch while it holds the right to place",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), connect, opt)
		},
	}
	cmd.Flags().StringVar(&opt.LogLevel, "log-level", "info", "lowest level that is logged: error, warning, info or debug")
	cmd.Flags().IntVar(&opt.LogBudget, "log-budget", logging.DefaultLinesPerSecond, "log lines of each kind that are written a second; 0 is without bound")
	cmd.Flags().IntVar(&opt.MetricsPort, "metrics-port", 0, "port of /metrics; 0 serves it on the port between nodes")
	cmd.Flags().StringVar(&opt.RunTimes, "run-times", "learned", "where expected run times come from: learned from finished runs, or declared by callers")
	opt.clients.addFlags(cmd.Flags())
	return settings.Execute(cmd, &opt, &opt.clients)
}

func run(parent context.Context, connect Connect, opt options) error {
	level, err := logrus.ParseLevel(opt.LogLevel)
	if err != nil {
		return err
	}
	logrus.SetLevel(level)
	hangups := hangups()
	p, err := connect()
	if err != nil {
		return &SettingsError{err}
	}
	d, err := newDaemon(p, opt)
	if err != nil {
		return err
	}
	return d.serve(parent, hangups)
}

// SettingsError tells that the platform's settings can't be used.
type SettingsError struct{ cause error }

func (e *SettingsError) Error() string { return e.cause.Error() }
func (e *SettingsError) Unwrap() error { return e.cause }

// ExitCode implements settings.ExitCoder.
func (e *SettingsError) ExitCode() int { return settings.ExitSettings }
