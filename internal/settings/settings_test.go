package settings

import (
	"bytes"

	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Settings")
}

type options struct {
	Host   string        `flag:"host" validate:"required"`
	Listen string        `flag:"listen" validate:"required,hostname_port"`
	Peers  []string      `flag:"peers" validate:"dive,url"`
	Site   string        `flag:"site" validate:"oneof=a b"`
	Wait   time.Duration `flag:"wait" validate:"gt=0"`
	Count  int           `flag:"count" validate:"min=1"`
}

// executeResult is the outcome of one command execution.
type executeResult struct {
	code int
	text string
	ran  bool
	o    options
}

type exitCodeError struct{ error }

func (exitCodeError) ExitCode() int { return 7 }

func execute(failure error, args ...string) (res executeResult) {
	var out bytes.Buffer
	o := &res.o
	cmd := &cobra.Command{Use: "p", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { res.ran = true; return failure }}
	cmd.Flags().StringVar(&o.Host, "host", "h", "")
	cmd.Flags().StringVar(&o.Listen, "listen", "10.0.0.1:80", "")
	cmd.Flags().StringSliceVar(&o.Peers, "peers", nil, "")
	cmd.Flags().StringVar(&o.Site, "site", "a", "")
	cmd.Flags().DurationVar(&o.Wait, "wait", time.Second, "")
	cmd.Flags().IntVar(&o.Count, "count", 1, "")
	cmd.SetArgs(append([]string{}, args...))
	cmd.SetOut(&out)
	r := &run{options: []any{o}}
	r.prepare(cmd)
	res.code = r.exitCode(&out, cmd.Execute())
	res.text = out.String()
	return res
}

var _ = Describe("Execute", func() {
	It("reports all invalid settings in one error and does not run the command", func() {
		GinkgoT().Setenv("MIMOSASPOOL_COUNT", "many")
		r := execute(nil, "--host=", "--listen=x", "--peers=http://a:1,b", "--site=c", "--wait=soon", "--log-format=xml")
		Expect(r.code).To(Equal(ExitSettings))
		Expect(r.ran).To(BeFalse())
		for _, line := range []string{
			`--host="": must be set`, `--listen="x": must be HOST:PORT`, `--peers[1]="b": must be a URL`, `--site="c": must be one of a, b`,
			`--wait="soon": must be of type duration`, `--count="many": must be of type int`, `--log-format="xml": must be one of text, json`,
		} {
			Expect(r.text).To(ContainSubstring(line))
		}
	})

	It("treats unknown flags and arguments as invalid settings", func() {
		Expect(execute(nil, "--wait=soon", "--nope").code).To(Equal(ExitSettings))
		Expect(execute(nil, "--wait=soon", "--nope").text).To(And(ContainSubstring("--nope"), ContainSubstring(`--wait="soon"`)))
		Expect(execute(nil, "argument").code).To(Equal(ExitSettings))
	})

	It("prefers flags over environment variables", func() {
		GinkgoT().Setenv("MIMOSASPOOL_HOST", "env")
		GinkgoT().Setenv("MIMOSASPOOL_COUNT", "5")
		r := execute(nil, "--host=flag")
		Expect(r.ran).To(BeTrue())
		Expect(r.o.Host).To(Equal("flag"))
		Expect(r.o.Count).To(Equal(5))
	})

	It("prints help, version and completion even if settings are invalid", func() {
		for _, args := range [][]string{{"--help", "--wait=soon"}, {"--version"}, {"completion", "bash"}} {
			r := execute(nil, args...)
			Expect(r.code).To(Equal(ExitOK), "%v: %s", args, r.text)
			Expect(r.text).NotTo(BeEmpty())
			Expect(r.ran).To(BeFalse())
		}
		Expect(execute(nil, "--help").text).To(ContainSubstring("[MIMOSASPOOL_WAIT]"))
	})

	It("exits with the code of the error", func() {
		Expect(execute(errors.New("down")).code).To(Equal(ExitFailed))
		Expect(execute(exitCodeError{errors.New("x")}).code).To(Equal(7))
	})
})
