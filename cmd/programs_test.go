// Package cmd_test builds every program and checks what all have in common.
package cmd_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/settings"
)

func TestPrograms(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Programs")
}

// bad is a run of a program with settings that can't be used.
type bad struct {
	args []string
	// flags names the settings, all of which must be told of.
	flags []string
}

// programs holds a bad run of each program of cmd/.
var programs = map[string]bad{
	"mimosaspool-demo": {[]string{"run", "--site=x", "--rate=fast", "--duration=1ms", "--keep-logs=maybe", "--bin=no-such"},
		[]string{"site", "rate", "duration", "keep-logs", "bin", "examples"}},
	"mimosaspool-entry": {[]string{"--listen=x", "--entries=a", "--grace=soon", "--keys-since=1"},
		[]string{"host", "region", "domain", "listen", "scheduler-urls", "entries", "grace", "keys-since"}},
	"mimosaspool-measure": {[]string{"--policy=fast,x", "--seed=y", "--faults=maybe", "FILE"}, []string{"policy", "seed", "faults"}},
	"mimosaspool-node": {[]string{"--log-level=loud", "--metrics-port=70000", "--log-format=xml", "--client-connections=-1", "--client-body-stall=0s", "--job-table-bytes=x"},
		[]string{"log-level", "metrics-port", "log-format", "client-connections", "client-body-stall", "job-table-bytes"}},
	"mimosaspool-prove":  {[]string{"trace", "--faults=log down,x", "--seed=y", "--host=d9-h1"}, []string{"faults", "seed", "host"}},
	"mimosaspool-replay": {[]string{"--log-format=xml", "FILE"}, []string{"log-format"}},
	"mimosaspool-scheduler": {[]string{"--listen=x", "--peer-urls=y"},
		[]string{"host", "region", "domain", "listen", "platform-url", "peer-urls[0]"}},
	"mimosaspool-slopes":  {[]string{"--root=no-such", "--again=maybe"}, []string{"root", "again"}},
	"mimosaspool-standin": {[]string{"--listen=x", "--site=y"}, []string{"listen", "site", "domains"}},
	"mimosaspoolctl": {[]string{"list", "tasks", "--output=xml", "--timeout=soon", "--scheduler-url=z"},
		[]string{"output", "timeout", "scheduler-url[0]"}},
}

// extra holds further commands whose flags operators use.
var extra = map[string][]string{"mimosaspoolctl": {"check", "--help"}}

// bin is the directory that the programs are built into.
var bin string

var _ = BeforeSuite(func() {
	bin = GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "./...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// output runs a program and returns its exit code and what it printed.
func output(program string, args ...string) (int, string) {
	cmd := exec.Command(filepath.Join(bin, program), args...)
	cmd.Dir = GinkgoT().TempDir()
	out, err := cmd.CombinedOutput()
	if err != nil {
		Expect(err).To(BeAssignableToTypeOf(&exec.ExitError{}), program)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

var _ = Describe("Every program", func() {
	It("has a row in this test", func() {
		entries, err := os.ReadDir(".")
		Expect(err).NotTo(HaveOccurred())
		var names []string
		for _, e := range entries {
			if e.IsDir() {
				names = append(names, e.Name())
			}
		}
		rows := make([]string, 0, len(programs))
		for name := range programs {
			rows = append(rows, name)
		}
		Expect(names).To(ConsistOf(rows))
	})

	for name, b := range programs {
		It("answers without a good setting: "+name, func() {
			for _, args := range [][]string{{"--help"}, {"--version"}, {"completion", "bash"}} {
				code, text := output(name, args...)
				Expect(code).To(Equal(settings.ExitOK), text)
				Expect(text).NotTo(BeEmpty())
			}
			_, text := output(name, "--version")
			Expect(text).To(HavePrefix(name + " version "))
		})

		It("names every bad setting at once: "+name, func() {
			code, text := output(name, "--nope")
			Expect(code).To(Equal(settings.ExitSettings), text)
			Expect(text).To(ContainSubstring("--nope"))
			code, text = output(name, b.args...)
			Expect(code).To(Equal(settings.ExitSettings), text)
			for _, f := range b.flags {
				Expect(text).To(ContainSubstring("--" + f + "="))
			}
		})
	}

	It("has each of its flags in docs/operators.md", func() {
		page, err := os.ReadFile("../docs/operators.md")
		Expect(err).NotTo(HaveOccurred())
		for _, name := range []string{"mimosaspool-scheduler", "mimosaspool-entry", "mimosaspool-standin", "mimosaspool-node", "mimosaspoolctl"} {
			_, text := output(name, "--help")
			if args := extra[name]; args != nil {
				_, more := output(name, args...)
				text += more
			}
			for _, flag := range regexp.MustCompile(`(?m)^ .*?(--[a-z-]+)`).FindAllStringSubmatch(text, -1) {
				if flag[1] != "--help" && flag[1] != "--version" {
					Expect(string(page)).To(ContainSubstring("`"+flag[1]+"`"), name)
				}
			}
		}
	})
})
