package demo

import (
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// TestPlatformDemo runs the demo on nodes in emulated time.
func TestPlatformDemo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out strings.Builder
		wrong, err := runPlatform(t.Context(), &out, io.Discard, 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(wrong).To(BeZero(), out.String())
		for _, want := range []string{"dispatches, ", "fits 4, of 6 workers", "0 breaches", "n4 shows"} {
			g.Expect(out.String()).To(ContainSubstring(want))
		}
	})
}

// nodesExample is a block of statements for nodes in docs/language.md.
var nodesExample = regexp.MustCompile("(?s)```nodes\n(.*?)```")

// TestLanguagePageOfNodes runs every statement for nodes of docs/language.md, in order.
func TestLanguagePageOfNodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/language.md")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, err := newSite(t.Context(), 1, io.Discard)
		g.Expect(err).NotTo(HaveOccurred())
		defer s.close()
		s.boot("n1", 0)
		s.boot("n2", 0)
		time.Sleep(demoBoot)
		var out strings.Builder
		show := &stage{site: s, out: &out, began: time.Now(), expected: map[string]workflow.State{}}
		blocks := nodesExample.FindAllStringSubmatch(string(page), -1)
		g.Expect(blocks).To(HaveLen(3))
		for i, b := range blocks {
			res := show.execute(s.asker([]string{"n1", "n2"}[i%2], true), b[1])
			g.Expect(res.Faults).To(BeEmpty())
			g.Expect(res.Jobs).To(HaveLen([]int{4, 1, 0}[i]))
			for _, a := range res.Answers {
				g.Expect(a.Missing).To(BeEmpty(), a.Statement)
			}
			time.Sleep(time.Second)
		}
		g.Expect(show.wrong).To(BeZero(), out.String())
	})
}
