package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/operator"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Ctl")
}

// fake is a scheduler that gives set answers.
type fake struct {
	replies []operator.Result
	raw     []byte
	asked   []*control.ExecuteRequest
}

// Execute implements control.Operator.
func (f *fake) Execute(_ context.Context, req *control.ExecuteRequest) (*control.ExecuteReply, error) {
	f.asked = append(f.asked, req)
	if f.raw != nil {
		return &control.ExecuteReply{ResultJson: f.raw}, nil
	}
	data, err := json.Marshal(f.replies[min(len(f.asked), len(f.replies))-1])
	return &control.ExecuteReply{ResultJson: data}, err
}

func serve(f *fake) string {
	s := httptest.NewUnstartedServer(control.NewOperatorServer(f))
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	DeferCleanup(s.Close)
	return s.URL
}

// code is the exit code that an error stands for.
func code(err error) int {
	var c interface{ ExitCode() int }
	switch {
	case err == nil:
		return 0
	case errors.As(err, &c):
		return c.ExitCode()
	}
	return -1
}

type seen struct {
	code     int
	out, err string
}

func runTool(input string, args ...string) seen {
	var out, errs bytes.Buffer
	t := &tool{in: strings.NewReader(input), out: &out, err: &errs}
	cmd := t.command()
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(context.Background())
	return seen{code(err), out.String(), errs.String()}
}

var _ = Describe("mimosaspoolctl", func() {
	accepted := operator.Result{Change: &operator.Outcome{ID: "c", State: operator.Accepted, Offset: 4}}
	unknown := operator.Result{Change: &operator.Outcome{ID: "c", State: operator.Unknown}}
	refused := operator.Result{Change: &operator.Outcome{ID: "c", State: operator.Refused, Reason: "late"}}

	DescribeTable("exit codes", func(res operator.Result, want int) {
		url := serve(&fake{replies: []operator.Result{res}})
		Expect(runTool("", "exec", "drain w", "--scheduler-url", url, "--timeout", "2s").code).To(Equal(want))
	},
		Entry("done", accepted, 0),
		Entry("a fault", operator.Result{Faults: language.Faults{{Line: 1, Column: 1}}}, exitFault),
		Entry("refused", refused, exitRefused),
		Entry("not known yet", unknown, exitUnknown),
		Entry("differs", operator.Result{Diff: []operator.Planned{{Action: operator.Add}}}, exitDiffers),
		Entry("doesn't differ", operator.Result{Diff: []operator.Planned{{Action: operator.Keep}}}, 0),
	)

	It("tries the schedulers in turn with one id until one knows the outcome", func() {
		first, second := &fake{replies: []operator.Result{unknown}}, &fake{replies: []operator.Result{accepted}}
		s := runTool("", "exec", "drain w", "--scheduler-url", "http://127.0.0.1:1,"+serve(first)+","+serve(second), "--actor", "ana", "--if-version", "3")
		Expect(s.code).To(Equal(0))
		Expect(s.out).To(Equal("accepted at offset 4\n"))
		Expect(first.asked).To(HaveLen(1))
		Expect(first.asked[0].Text).To(Equal("drain w;"))
		Expect(*first.asked[0].IfVersion).To(BeEquivalentTo(3))
		Expect(second.asked[0].ChangeId).To(And(Equal(first.asked[0].ChangeId), Not(BeEmpty())))
	})

	It("survives a malformed reply", func() {
		url := serve(&fake{raw: []byte(`{"answers":[{"table":{"columns":["a"],"rows":[7]}}]}`)})
		Expect(runTool("", "list", "tasks", "--scheduler-url", url, "--timeout", "50ms").code).To(Equal(1))
	})

	It("checks a file offline, and reads the standard input", func() {
		s := runTool("declare team crews;\nlist taks;", "check", "-", "--offline")
		Expect(s.code).To(Equal(exitFault))
		Expect(s.err).To(ContainSubstring("line 2, column 6"))
		Expect(runTool("declare team crews;", "check", "-", "--offline").out).To(Equal("1 statements, no fault\n"))
	})

	It("prints JSON whose rows are objects", func() {
		table := &operator.Table{Columns: []string{"name", "tasks"}, Rows: [][]operator.Cell{{{Text: "w"}, {Number: 2, Numeric: true}}}}
		url := serve(&fake{replies: []operator.Result{{Answers: []operator.Answer{{Table: table}}}}})
		s := runTool("", "list", "workers", "-o", "json", "--scheduler-url", url)
		var v struct {
			Answers []struct {
				Table struct{ Rows []map[string]any }
			}
		}
		Expect(json.Unmarshal([]byte(s.out), &v)).To(Succeed())
		Expect(v.Answers[0].Table.Rows[0]).To(Equal(map[string]any{"name": "w", "tasks": 2.0}))
	})

	It("sends statements of nodes to nodes", func() {
		const id = "00000000000000aa"
		Expect(runTool("", "exec", "show holder", "--scheduler-url", "http://127.0.0.1:1").code).To(Equal(-1), "a bad setting")
		s := runTool("", "exec", "list tasks", "--node-url", "http://127.0.0.1:1")
		Expect([]any{s.code, s.err}).To(Equal([]any{exitFault, "line 1, column 1: this is asked of schedulers: statements for nodes and for schedulers can't be in one script\n  list tasks;\n  ^\n"}))
		s = runTool("", "exec", "cancel job "+id, "--node-url", "http://127.0.0.1:1", "--timeout", "50ms")
		Expect(s.code).To(Equal(exitUnknown))
		Expect(s.out).To(ContainSubstring("not known yet: job " + id + " may be or become cancelled"))
		Expect(runTool("", "list", "members", "--node-url", "http://127.0.0.1:1", "--timeout", "50ms").code).To(Equal(-1))
		Expect(runTool("list jobs;", "check", "-", "--node-url", "http://127.0.0.1:1").out).To(Equal("1 statements, no fault\n"))
	})

	It("reads statements over several lines in the shell", func() {
		f := &fake{replies: []operator.Result{accepted}}
		var out bytes.Buffer
		t := &tool{out: &out, err: &out, flags: flags{Schedulers: []string{serve(f)}, Timeout: time.Second}}
		Expect(t.loop(context.Background(), &typed{"", "drain", "w;", "exit"})).To(Succeed())
		Expect(f.asked).To(HaveLen(1))
		Expect(f.asked[0].Text).To(Equal("drain\nw;\n"))
	})

	It("has a completion script for every verb", func() {
		t := &tool{out: io.Discard, err: io.Discard}
		var names []string
		for _, c := range t.command().Commands() {
			names = append(names, c.Name())
		}
		Expect(names).To(ConsistOf("exec", "apply", "check", "diff", "list", "explain", "history", "trace", "shell", "version", "capacity"))
		var b bytes.Buffer
		Expect(t.command().GenBashCompletionV2(&b, true)).To(Succeed())
		Expect(b.String()).To(ContainSubstring("mimosaspoolctl"))
	})
})

// typed is what a person types, line by line.
type typed []string

// Readline implements lines.
func (t *typed) Readline() (string, error) {
	if len(*t) == 0 {
		return "", io.EOF
	}
	line := (*t)[0]
	*t = (*t)[1:]
	return line, nil
}

// SetPrompt implements lines.
func (*typed) SetPrompt(string) {}
