package operator_test

import (
	"bytes"
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/ctl"
)

// update rewrites the page's outputs instead of comparing them.
var update = flag.Bool("update", false, "rewrite the outputs in docs/language.md")

const page = "../../docs/language.md"

// example is a statement block and the output block after it.
var example = regexp.MustCompile("(?s)```statement\n(.*?)```\n\n```output\n(.*?)```")

// TestLanguagePage runs every statement of docs/language.md in order and
// compares what operators see.
func TestLanguagePage(t *testing.T) {
	RegisterTestingT(t)
	data, err := os.ReadFile(page)
	Expect(err).NotTo(HaveOccurred())
	text := string(data)
	_, south, _ := newSite()
	ran := 0
	out := example.ReplaceAllStringFunc(text, func(block string) string {
		m := example.FindStringSubmatch(block)
		got := see(south, m[1])
		if !*update {
			Expect(got).To(Equal(m[2]), "%s", m[1])
		}
		ran++
		return "```statement\n" + m[1] + "```\n\n```output\n" + got + "```"
	})
	Expect(ran).To(Equal(strings.Count(text, "```statement")))
	Expect(ran).To(BeNumerically(">", 20))
	if *update {
		Expect(os.WriteFile(page, []byte(out), 0o644)).To(Succeed())
	}
}

// see returns what an operator sees of a script.
func see(n *node, text string) string {
	res := exec(n, text)
	var b bytes.Buffer
	if len(res.Faults) > 0 {
		b.WriteString(res.Faults.Error() + "\n")
	}
	ctl.Render(&b, res)
	return b.String()
}
