package demo

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// flags are the program's settings.
type flags struct {
	Site     string        `flag:"site" validate:"oneof=tallowood agency"`
	Bin      string        `flag:"bin" validate:"required,dir"`
	Examples string        `flag:"examples" validate:"required,dir"`
	Rate     float64       `flag:"rate" validate:"min=1,max=5000"`
	Duration time.Duration `flag:"duration" validate:"min=1s,max=10m"`
	Seed     uint64        `flag:"seed"`
	Logs     bool          `flag:"keep-logs"`
}

// errBreached marks a run in which a promise was broken.
var errBreached = errors.New("promises were broken")

// Main runs the program and returns its exit code.
func Main() int {
	cmd := &cobra.Command{Use: "mimosaspool-demo", Short: "Run the system against a stand-in platform"}
	cmd.AddCommand(command("run", "Show the system under load, a kill and a cut", 20*time.Second, 300, runDemo))
	cmd.AddCommand(command("chaos", "Run the system under a seeded schedule of faults", 60*time.Second, 150, runChaos))
	return settings.Execute(cmd)
}

func command(name, short string, duration time.Duration, rate float64, f func(options) (int, error)) *cobra.Command {
	var s flags
	cmd := &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := settings.Validate(s); err != nil {
				return err
			}
			n, err := f(options{
				site: s.Site, bin: s.Bin, example: fmt.Sprintf("%s/%s.mp", s.Examples, s.Site),
				rate: s.Rate, duration: s.Duration, seed: s.Seed, keepLogs: s.Logs,
			})
			if err == nil && n > 0 {
				err = errBreached
			}
			return err
		},
	}
	cmd.Flags().StringVar(&s.Site, "site", "tallowood", "whose sizes: tallowood or agency")
	cmd.Flags().StringVar(&s.Bin, "bin", "bin", "directory of the programs")
	cmd.Flags().StringVar(&s.Examples, "examples", "examples", "directory of the example configurations")
	cmd.Flags().Float64Var(&s.Rate, "rate", rate, "requests a second")
	cmd.Flags().DurationVar(&s.Duration, "duration", duration, "how long load is sent")
	cmd.Flags().Uint64Var(&s.Seed, "seed", 1, "seed of the load and the faults")
	cmd.Flags().BoolVar(&s.Logs, "keep-logs", false, "keep the programs' output and print where it is")
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
