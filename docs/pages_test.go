// Package docs_test holds the pages and the code together.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// named finds reasons and metrics in the sources.
var named = []*regexp.Regexp{
	regexp.MustCompile(`Reason\s+=\s"([a-z-]+)"`),
	regexp.MustCompile(`reason[A-Z]\w*\s+=\s"([a-z-]+)"`),
	regexp.MustCompile(`reasons\["([a-z-]+)"\]`),
	regexp.MustCompile(`Count\("[a-z]+", "([a-z-]+)"`),
	regexp.MustCompile(`"(mimosaspool_[a-z_]+)"`),
}

// TestOperatorsPageNamesEveryReason checks that docs/operators.md names each
// reason and metric of the programs.
func TestOperatorsPageNamesEveryReason(t *testing.T) {
	RegisterTestingT(t)
	page, err := os.ReadFile("operators.md")
	Expect(err).NotTo(HaveOccurred())
	var missing []string
	words := regexp.MustCompile("[a-z][a-z_-]+").FindAllString(string(page), -1)
	sources, err := filepath.Glob("../internal/*/*.go")
	Expect(err).NotTo(HaveOccurred())
	found := 0
	for _, path := range sources {
		if strings.HasSuffix(path, "_test.go") || regexp.MustCompile(`/(standin|proof|checker|demo|capacity)/`).MatchString(path) {
			continue
		}
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		for _, re := range named {
			for _, m := range re.FindAllStringSubmatch(string(data), -1) {
				found++
				if !slices.ContainsFunc(words, func(w string) bool { return strings.HasPrefix(w, m[1]) }) {
					missing = append(missing, m[1]+" in "+path)
				}
			}
		}
	}
	Expect(missing).To(BeEmpty(), "docs/operators.md must tell what it means, and what to do")
	Expect(found).To(BeNumerically(">", 20))
}
