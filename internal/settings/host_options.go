package settings

import (
	"context"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// HostOptions holds the host, region, failure domain and listen address of a
// program on an entry host. Options structs embed it.
type HostOptions struct {
	Host   string `flag:"host" validate:"required"`
	Region string `flag:"region" validate:"required"`
	Domain string `flag:"domain" validate:"required"`
	Listen string `flag:"listen" validate:"required,hostname_port"`
	// MemoryMiB is the memory of the program in mebibytes.
	MemoryMiB int64 `flag:"memory-mib" validate:"min=32"`
}

// defaultMemoryMiB is the memory of a program on an entry host.
const defaultMemoryMiB = 256

// AddFlags adds the flags of the options to a command. content says in the help
// text what is served at Listen.
func (o *HostOptions) AddFlags(cmd *cobra.Command, content string) {
	cmd.Flags().StringVar(&o.Host, "host", "", "name of this entry host")
	cmd.Flags().StringVar(&o.Region, "region", "", "region of this host")
	cmd.Flags().StringVar(&o.Domain, "domain", "", "failure domain of this host")
	cmd.Flags().Int64Var(&o.MemoryMiB, "memory-mib", defaultMemoryMiB, "memory of the program in MiB, from which the bounds on its clients are derived")
	AddListenFlag(cmd, &o.Listen, content)
}

// AddListenFlag adds the flag for a listen address. content says in the help
// text what is served there.
func AddListenFlag(cmd *cobra.Command, listen *string, content string) {
	cmd.Flags().StringVar(listen, "listen", "", "address to serve "+content+" on, host:port")
}

// Logger returns a logger with the host and the failure domain as fields.
func (o *HostOptions) Logger() *logrus.Entry {
	return logrus.WithFields(logrus.Fields{"host": o.Host, "domain": o.Domain})
}

// Command returns a command that takes no arguments and calls run.
func Command(use, short string, run func(context.Context) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context()) },
	}
}
