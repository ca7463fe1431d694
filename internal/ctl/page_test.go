package ctl

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// shown finds the page's blocks of one command and its output.
var shown = regexp.MustCompile("(?ms)^```console\n\\$ ([^\n]*)\n(.*?)^```$")

// TestOperationsPage runs the commands of docs/OPERATIONS.md as they are shown,
// and compares what they print.
func TestOperationsPage(t *testing.T) {
	g := NewWithT(t)
	t.Chdir("../..")
	page, err := os.ReadFile("docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	blocks := shown.FindAllStringSubmatch(string(page), -1)
	g.Expect(len(blocks)).To(Equal(strings.Count(string(page), "```console")))
	g.Expect(blocks).NotTo(BeEmpty())
	for _, b := range blocks {
		command, output := b[1], b[2]
		var out bytes.Buffer
		if args, ours := strings.CutPrefix(command, "mimosaspoolctl "); ours {
			cmd := (&tool{out: &out, err: &out}).command()
			cmd.SetArgs(strings.Fields(args))
			g.Expect(cmd.ExecuteContext(context.Background())).To(Succeed(), command)
		} else {
			sh := exec.Command("sh", "-c", command)
			sh.Stdout, sh.Stderr = &out, &out
			g.Expect(sh.Run()).To(Succeed(), command)
		}
		g.Expect(out.String()).To(Equal(output), command)
	}
}

// TestExplainJob tells a story from what nodes keep, and names those out of reach.
func TestExplainJob(t *testing.T) {
	g := NewWithT(t)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"time":"2026-01-02T10:00:00.100Z","level":"info","msg":"request","kind":"job-refused","node":"e1","job":"`+r.FormValue("job")+`","reason":"view-stale"}`+"\n")
	}))
	defer node.Close()
	var out bytes.Buffer
	cmd := (&tool{out: &out, err: &out}).command()
	cmd.SetArgs([]string{"explain", "job", "aa", "--node-url", node.URL + ",http://127.0.0.1:1"})
	g.Expect(cmd.ExecuteContext(context.Background())).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("cause: the job was refused by e1 (view-stale)"))
	g.Expect(out.String()).To(ContainSubstring("note: out of reach: http://127.0.0.1:1"))
}
