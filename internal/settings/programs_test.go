package settings_test

import (
	"os"
	"path/filepath"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/ctl"
	"github.com/mimosaspool/mimosaspool/internal/entry"
	"github.com/mimosaspool/mimosaspool/internal/schedulerd"
	"github.com/mimosaspool/mimosaspool/internal/settings"
	"github.com/mimosaspool/mimosaspool/internal/standin"
)

// programs are the mains of all programs.
var programs = map[string]func() int{
	"mimosaspool-scheduler": schedulerd.Main,
	"mimosaspool-entry":     entry.Main,
	"mimosaspool-standin":   standin.Main,
	"mimosaspoolctl":        ctl.Main,
}

// output runs a program in this process and returns its exit code and what it
// printed.
func output(program string, args ...string) (int, string) {
	file, err := os.Create(filepath.Join(GinkgoT().TempDir(), "out"))
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	stdout, stderr, before := os.Stdout, os.Stderr, os.Args
	defer func() { os.Stdout, os.Stderr, os.Args = stdout, stderr, before }()
	os.Stdout, os.Stderr, os.Args = file, file, append([]string{program}, args...)
	code := programs[program]()
	data, err := os.ReadFile(file.Name())
	Expect(err).NotTo(HaveOccurred())
	return code, string(data)
}

var _ = Describe("Every program", func() {
	for name := range programs {
		It("checks its settings before it opens anything: "+name, func() {
			code, text := output(name, "--nope")
			Expect(code).To(Equal(settings.ExitSettings), text)
			Expect(text).To(ContainSubstring("--nope"))
			for _, args := range [][]string{{"--help"}, {"--version"}, {"completion", "bash"}} {
				code, text = output(name, args...)
				Expect(code).To(Equal(settings.ExitOK), text)
				Expect(text).NotTo(BeEmpty())
			}
		})
	}

	It("has each of its flags in docs/operators.md", func() {
		page, err := os.ReadFile("../../docs/operators.md")
		Expect(err).NotTo(HaveOccurred())
		for name := range programs {
			_, text := output(name, "--help")
			_, check := output("mimosaspoolctl", "check", "--help")
			for _, flag := range regexp.MustCompile(`(?m)^ .*?(--[a-z-]+)`).FindAllStringSubmatch(text+check, -1) {
				if flag[1] != "--help" && flag[1] != "--version" {
					Expect(string(page)).To(ContainSubstring("`"+flag[1]+"`"), name)
				}
			}
		}
	})

	DescribeTable("names every bad setting at once", func(program string, args []string, flags ...string) {
		code, text := output(program, args...)
		Expect(code).To(Equal(settings.ExitSettings), text)
		for _, f := range flags {
			Expect(text).To(ContainSubstring("--" + f + "="))
		}
	},
		Entry("scheduler", "mimosaspool-scheduler", []string{"--listen=x", "--peer-urls=y"}, "host", "region", "domain", "listen", "platform-url", "peer-urls[0]"),
		Entry("entry", "mimosaspool-entry", []string{"--listen=x", "--entries=a", "--grace=soon", "--keys-since=1"}, "host", "region", "domain", "listen", "scheduler-urls", "entries", "grace", "keys-since"),
		Entry("standin", "mimosaspool-standin", []string{"--listen=x", "--site=y"}, "listen", "site"),
		Entry("ctl", "mimosaspoolctl", []string{"list", "tasks", "--output=xml", "--timeout=soon", "--scheduler-url=z"}, "output", "timeout", "scheduler-url[0]"),
	)
})
