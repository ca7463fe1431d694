package language_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
)

func TestLanguage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Language")
}

// FuzzParse checks that any text gives a script or faults that point into it.
func FuzzParse(f *testing.F) {
	seeds, _ := filepath.Glob("testdata/*.txt")
	for _, name := range seeds {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(data))
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := language.Parse(text)
		var faults language.Faults
		switch {
		case err != nil && (!errors.As(err, &faults) || len(faults) == 0 || err.Error() == ""):
			t.Fatalf("error without a fault: %v", err)
		case err != nil:
			return
		}
		for _, st := range s.Statements {
			if d := st.Declare; d != nil && d.Workload != nil {
				if w := d.Workload.Value(); w.Count < 1 || !w.Size.Valid() || w.Size.IsZero() || w.RunMillis < 0 {
					t.Fatalf("accepted %+v", w)
				}
			}
		}
	})
}

func faults(text string) language.Faults {
	_, err := language.Parse(text)
	var f language.Faults
	ExpectWithOffset(1, errors.As(err, &f)).To(BeTrue(), "%v", err)
	return f
}

var _ = Describe("Parse", func() {
	It("reads what a declaration says", func() {
		s, err := language.Parse("declare domain d region r workers w-[08-10], x entries e;\n# a comment\n" +
			"declare service survey team crews count 3 cpu 0.5 memory 2GiB policy thrifty urgency urgent spread yes homes d 2, e 1 if version 7;")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Statements[0].Declare.Domain.Value().Workers).To(Equal([]string{"w-08", "w-09", "w-10", "x"}))
		w := s.Statements[1].Declare.Workload.Value()
		Expect(w.Size.MilliCPU).To(BeEquivalentTo(500))
		Expect(w.Size.MemoryMiB).To(BeEquivalentTo(2048))
		Expect(w.Homes).To(Equal([]configuration.Home{{Domain: "d", Count: 2}, {Domain: "e", Count: 1}}))
		Expect(w.Policy).To(Equal(configuration.Thrifty))
		version, ok := s.Statements[1].Expected()
		Expect(ok).To(BeTrue())
		Expect(version).To(BeEquivalentTo(7))
	})

	It("names every fault of a file at its word", func() {
		f := faults("declare servise a cpu 1;\ndeclare service b count 0 cpu -1 policy trifty;\nlist taks;\nlist tasks where sate = waiting;\ndrain w")
		var at [][2]int
		var suggested []string
		for _, x := range f {
			at = append(at, [2]int{x.Line, x.Column})
			suggested = append(suggested, x.Suggestion)
		}
		Expect(at).To(Equal([][2]int{{1, 9}, {2, 25}, {2, 31}, {2, 41}, {3, 6}, {4, 18}, {5, 7}}))
		Expect(suggested).To(Equal([]string{"service", "", "", "thrifty", "tasks", "state", ""}))
	})

	It("draws a caret under the word", func() {
		Expect(faults("  declare team crews wieght 3;")[0].String()).To(HaveSuffix("did you mean \"weight\"?\n    declare team crews wieght 3;\n                       ^"))
	})

	DescribeTable("refuses", func(text, message string) {
		Expect(faults(text)[0].Message).To(ContainSubstring(message))
	},
		Entry("homes that don't add up", "declare service a cpu 1 count 3 homes d 1;", "the homes hold 1 of 3 tasks"),
		Entry("a domain twice", "declare service a cpu 1 count 2 homes d 1, d 1;", "twice"),
		Entry("a gang with two homes", "declare gang a cpu 1 count 2 homes d 1, e 1;", "one home"),
		Entry("a bad name", "declare service a/b cpu 1;", "a name is made of"),
		Entry("a reserved name", "declare team batch;", "a word of the language"),
		Entry("a worker twice", "declare domain d region r workers w-[1-3], w-2 entries e;", "w-2 stands twice"),
		Entry("an endless range", "declare domain d region r workers w-[1-999999999] entries e;", "a range goes upwards"),
		Entry("too many names", "declare domain d region r workers a[0-9999], b[0-9999], c[0-9999], d[0-9999], e[0-9999], f[0-9999] entries e;", "at most 50000"),
		Entry("no size", "declare service a;", "a size is missing"),
		Entry("not a number", "declare service a cpu NaN;", "number of cores"),
		Entry("memory without unit", "declare service a memory 12;", "512MiB"),
		Entry("an amount that overflows", "declare service a memory 9223372036854775807GiB;", "512MiB"),
		Entry("a setting twice", "declare service a cpu 1 cpu 2;", "stands twice"),
		Entry("a service's run time", "declare service a cpu 1 run 3s;", "no run time"),
		Entry("a query with a version", "list tasks if version 3;", "no expected version"),
		Entry("a cancelled team", "cancel team crews;", "can't be cancelled"),
		Entry("a number that isn't", "list workers where cpu > many;", "must be a number"),
		Entry("an odd character", "list tasks \x00;", "unexpected word"),
	)
})
