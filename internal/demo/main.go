package demo

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// flags are the settings of all commands.
type flags struct {
	Site     string `flag:"site" validate:"oneof=tallowood agency"`
	Bin      string `flag:"bin" validate:"required,dir"`
	Examples string `flag:"examples" validate:"required,dir"`
	Seed     uint64 `flag:"seed"`
	Logs     bool   `flag:"keep-logs"`
}

// pace is how much load a command sends.
type pace struct {
	Rate     float64       `flag:"rate" validate:"min=1,max=5000"`
	Duration time.Duration `flag:"duration" validate:"min=1s,max=10m"`
}

// errBreached marks a run in which a promise was broken.
var errBreached = errors.New("promises were broken")

// Main runs the program and returns its exit code.
func Main() int {
	var s flags
	demo, chaos := pace{300, 20 * time.Second}, pace{150, 60 * time.Second}
	cmd := &cobra.Command{Use: "mimosaspool-demo", Short: "Run the system against a stand-in platform"}
	p := cmd.PersistentFlags()
	p.StringVar(&s.Site, "site", "tallowood", "whose sizes: tallowood or agency")
	p.StringVar(&s.Bin, "bin", "bin", "directory of the programs")
	p.StringVar(&s.Examples, "examples", "examples", "directory of the example configurations")
	p.Uint64Var(&s.Seed, "seed", 1, "seed of the load and the faults")
	p.BoolVar(&s.Logs, "keep-logs", false, "keep the programs' output and print where it is")
	cmd.AddCommand(command("run", "Show the system under load, a kill and a cut", &s, &demo, runDemo))
	cmd.AddCommand(command("chaos", "Run the system under a seeded schedule of faults", &s, &chaos, runChaos))
	cmd.AddCommand(platformCommand(&s))
	return settings.Execute(cmd, &s, &demo, &chaos)
}

func command(name, short string, s *flags, p *pace, f func(options) (int, error)) *cobra.Command {
	cmd := settings.Command(name, short, func(context.Context) error {
		n, err := f(options{
			site: s.Site, bin: s.Bin, example: fmt.Sprintf("%s/%s.mp", s.Examples, s.Site),
			rate: p.Rate, duration: p.Duration, seed: s.Seed, keepLogs: s.Logs,
		})
		if err == nil && n > 0 {
			err = errBreached
		}
		return err
	})
	cmd.Flags().Float64Var(&p.Rate, "rate", p.Rate, "requests a second")
	cmd.Flags().DurationVar(&p.Duration, "duration", p.Duration, "how long load is sent")
	return cmd
}

func runDemo(o options) (int, error) {
	r, err := newRun(os.Stdout, o)
	if err != nil {
		return 0, err
	}
	defer r.close()
	r.load(r.demo)
	n, err := r.finish()
	if err != nil {
		return 0, err
	}
	c := count(r.callers.results)
	fmt.Printf("demo: %d requests, %d answered, %d not run, %d unknown, %d breaches\n", c.requests, c.answered, c.notRun, c.unknown, n)
	return n, nil
}

// close ends the programs.
func (r *run) close() {
	r.cluster.close()
	if r.keepLogs {
		fmt.Fprintln(os.Stderr, "output of the programs:", r.cluster.logs)
		return
	}
	r.cluster.removeLogs()
}
