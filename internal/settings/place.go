package settings

import (
	"context"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// Place tells where a program of an entry host runs. Options structs embed it.
type Place struct {
	Host   string `flag:"host" validate:"required"`
	Region string `flag:"region" validate:"required"`
	Domain string `flag:"domain" validate:"required"`
	Listen string `flag:"listen" validate:"required,hostname_port"`
}

// AddFlags adds the place's flags to a command; served tells what is served at Listen.
func (p *Place) AddFlags(cmd *cobra.Command, served string) {
	cmd.Flags().StringVar(&p.Host, "host", "", "name of this entry host")
	cmd.Flags().StringVar(&p.Region, "region", "", "region of this host")
	cmd.Flags().StringVar(&p.Domain, "domain", "", "failure domain of this host")
	AddListen(cmd, &p.Listen, served)
}

// AddListen adds the flag of an address that is served.
func AddListen(cmd *cobra.Command, listen *string, served string) {
	cmd.Flags().StringVar(listen, "listen", "", "address to serve "+served+" on, host:port")
}

// Logger returns a logger whose lines name the place.
func (p *Place) Logger() *logrus.Entry {
	return logrus.WithFields(logrus.Fields{"host": p.Host, "domain": p.Domain})
}

// Command returns a command without arguments that calls run.
func Command(use, short string, run func(context.Context) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context()) },
	}
}
