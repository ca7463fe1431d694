package story

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// at writes log lines at seconds of one minute: each is of a node and a kind, or
// of a message if it has spaces in front, with further fields.
func at(second float64, node, kind string, fields ...string) string {
	t := time.Date(2026, 1, 2, 10, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
	var b strings.Builder
	fmt.Fprintf(&b, `{"time":%q,"level":"info","node":%q`, t.Format("2006-01-02T15:04:05.000Z07:00"), node)
	if msg, ok := strings.CutPrefix(kind, "m:"); ok {
		fmt.Fprintf(&b, `,"msg":%q`, msg)
	} else {
		fmt.Fprintf(&b, `,"msg":"decision","kind":%q`, kind)
	}
	for i := 0; i < len(fields); i += 2 {
		fmt.Fprintf(&b, `,%q:%q`, fields[i], fields[i+1])
	}
	return b.String() + "}\n"
}

const jobA, jobB = "aa00000000000001", "bb00000000000002"

// outageOf is a time in which a node does not read the store.
func outageOf(node string, from, to float64) string {
	return at(from+1, node, "dependency-lost", "view", "jobs", "age_ms", "1000") + at(to, node, "dependency-regained", "view", "jobs")
}

// TestWhyRefused tells whether the store was out, or only one node's way to it.
func TestWhyRefused(t *testing.T) {
	g := NewWithT(t)
	refused := at(12, "e1", "job-refused", "job", jobA, "reason", "view-stale", "request", "r1")
	s, _ := tell(t, jobA, refused, outageOf("e1", 10, 14), outageOf("e2", 10.1, 14))
	g.Expect(s.Why).To(Equal([]string{"refused by e1 at 10:00:12.000 (view-stale): " +
		"e1 did not read the store from 10:00:10.000 to 10:00:14.000, nor did the other 1 nodes: the store was out"}))
	s, _ = tell(t, jobA, refused, outageOf("e1", 10, 14), at(12, "e2", "m:configuration in force"))
	g.Expect(s.Why).To(Equal([]string{"refused by e1 at 10:00:12.000 (view-stale): " +
		"e1 did not read the store from 10:00:10.000 to 10:00:14.000, the other 1 nodes did: its own link or process"}))
	s, _ = tell(t, jobA, refused, at(11, "e1", "m:started"))
	g.Expect(s.Why).To(Equal([]string{"refused by e1 at 10:00:12.000 (view-stale): e1 had started at 10:00:11.000"}))
	s, _ = tell(t, jobA, strings.Replace(refused, "view-stale", "no-queue", 1), outageOf("e1", 10, 14))
	g.Expect(s.Why).To(Equal([]string{"refused by e1 at 10:00:12.000 (no-queue)"}), "the store has nothing to do with it")
}

// TestWhyRefusedWhileTheNodeReadsAllJobs tells how far it was, what it waited for
// and when it was done.
func TestWhyRefusedWhileTheNodeReadsAllJobs(t *testing.T) {
	g := NewWithT(t)
	refused := at(12, "e1", "query-refused", "job", jobA, "reason", "view-loading", "request", "r1")
	far := at(11.5, "e1", "view-loading", "records", "2500", "waits_for", "10.1.0.4:7660") + at(11.7, "e2", "view-loading", "records", "1", "waits_for", "the store")
	s, _ := tell(t, jobA, refused, far, at(13, "e1", "view-loaded", "records", "9000", "took_ms", "2100"))
	g.Expect(s.Why).To(ContainElement("1 questions for its state were refused from 10:00:12.000 to 10:00:12.000 (view-loading): e1 had read 2500 jobs' records at 10:00:11.500 " +
		"and waited for 10.1.0.4:7660; e1 had read all 9000 jobs' records at 10:00:13.000, 2100 ms after it began"))
	s, _ = tell(t, jobA, refused, far)
	g.Expect(s.Why).To(ContainElement(HaveSuffix("and waited for 10.1.0.4:7660; no line tells that it was done")))
}

// TestWhyNothingRan tells of a takeover, and why there was one.
func TestWhyNothingRan(t *testing.T) {
	accepted := at(10, "e1", "job-accepted", "job", jobA, "took_ms", "5")
	start := at(16, "h2", "task-started", "job", jobA, "task", jobA+".0.0.0", "run", "9", "queued_ms", "6000")
	terms := at(1, "h1", "m:term begins", "token", "1") + at(1.1, "h1", "m:dispatching", "token", "1") +
		at(15, "h2", "m:term begins", "token", "2") + at(15.2, "h2", "m:dispatching", "token", "2")
	for name, c := range map[string]struct{ lines, want string }{
		"killed": {at(0, "h1", "m:started") + at(16.5, "h1", "m:started"), "h1 ended without a planned stop and started anew at 10:00:16.500"},
		"planned": {at(11, "h1", "m:planned stop begins") + at(11, "h1", "m:term ends", "token", "1", "reason", "a planned stop"),
			"h1 was stopped as planned at 10:00:11.000"},
		"silent": {"", "h1 wrote no more lines of its term: it was killed, stood still or was cut off"},
		"passed on": {at(15.1, "h1", "m:term ends", "token", "1", "reason", "the right has passed on") + outageOf("h1", 12, 18),
			"the term of h1 ended at 10:00:15.100 (the right has passed on); h1 did not read the store from 10:00:12.000 to 10:00:18.000, the other 2 nodes did: its own link or process"},
	} {
		g := NewWithT(t)
		s, _ := tell(t, jobA, accepted, start, terms, c.lines)
		g.Expect(s.Why).To(HaveLen(1), name)
		g.Expect(s.Why[0]).To(HavePrefix("nothing of it ran for 6.0 s from 10:00:10.000: h2 took over placing at 10:00:15.200: "+c.want), name)
	}
}

// TestWhyNotStarted says outright what a job waits for.
func TestWhyNotStarted(t *testing.T) {
	for outcome := range missing {
		g := NewWithT(t)
		s, _ := tell(t, jobA, at(10, "e1", "job-accepted", "job", jobA),
			at(11, "h1", "job-waits", "job", jobA, "outcome", outcome, "reason", "of 3 workers", "needs", "2 tasks"), at(20, "h1", "m:configuration in force"))
		g.Expect(s.Why).To(Equal([]string{"nothing of it ran for 10.0 s from 10:00:10.000, when the logs end: it needs 2 tasks; " + missing[outcome] + " (of 3 workers)"}))
	}
}

// TestWhyFailed tells a task's own fault from that of its workers.
func TestWhyFailed(t *testing.T) {
	g := NewWithT(t)
	failed := func(job, worker, run string) string {
		return at(10, "h1", "task-ended", "job", job, "task", job+".0.0.0", "worker", worker, "run", run, "outcome", "failed")
	}
	done := func(worker string) string {
		return at(9, "h1", "task-ended", "job", jobB, "task", jobB+".0.0.1", "worker", worker, "run", "1", "outcome", "done")
	}
	ended := at(10.1, "h1", "job-ended", "job", jobA, "outcome", "failed", "reason", "task "+jobA+".0.0.0 has used its attempts")
	s, _ := tell(t, jobA, failed(jobA, "w1", "1"), failed(jobA, "w2", "2"), ended, done("w1"), done("w2"))
	g.Expect(s.Why).To(Equal([]string{"0.0.0 failed 2 times on w1, w2; of the other 2 runs that ended there, 0 failed: the task's own fault"}))
	s, _ = tell(t, jobA, failed(jobA, "w1", "1"), ended, failed(jobB, "w1", "1"), failed(jobB, "w1", "2"), done("w1"))
	g.Expect(s.Why).To(Equal([]string{"0.0.0 failed 1 times on w1; of the other 3 runs that ended there, 2 failed: look after the workers"}))
}

// TestWhyShownLate tells that a job's end was lost with its holder, and which
// questions were refused.
func TestWhyShownLate(t *testing.T) {
	g := NewWithT(t)
	end := func(second float64, node string) string {
		return at(second, node, "job-ended", "job", jobA, "outcome", "completed", "reason", "all tasks are done")
	}
	lines := []string{at(9, "e1", "job-accepted", "job", jobA), end(10, "h1"), end(16, "h2"),
		at(11, "e1", "query-refused", "job", jobA, "reason", "view-stale"), at(12, "e1", "query-refused", "job", jobA, "reason", "view-stale"),
		outageOf("e1", 9.5, 14)}
	s, _ := tell(t, jobA, lines...)
	g.Expect(s.Why).To(ContainElement("it had ended at 10:00:10.000, and its end was recorded anew by h2 at 10:00:16.000, 6.0 s later"))
	g.Expect(s.Why).To(ContainElement(HavePrefix("2 questions for its state were refused from 10:00:11.000 to 10:00:12.000 (view-stale): e1 did not read the store")))
	l := NewLog("")
	g.Expect(l.Read(strings.NewReader(strings.Join(lines, "")))).To(Succeed())
	f := l.Failures(3 * time.Second)
	g.Expect(f).To(HaveLen(1))
	g.Expect(f[0].Outcome).To(Equal(Late))
}

// TestWhySlow names a run that took long, and what was seen of its worker.
func TestWhySlow(t *testing.T) {
	g := NewWithT(t)
	var lines strings.Builder
	for i, end := range []float64{11, 11.2, 14} {
		task, worker := fmt.Sprintf("%s.0.0.%d", jobA, i), fmt.Sprintf("w%d", i)
		lines.WriteString(at(10, "h1", "task-started", "job", jobA, "task", task, "worker", worker, "run", "1"))
		lines.WriteString(at(end, "h1", "task-ended", "job", jobA, "task", task, "worker", worker, "run", "1", "outcome", "done"))
	}
	s, _ := tell(t, jobA, lines.String(), at(12, "h1", "contact-lost", "worker", "w2"), at(12, "h1", "contact-lost", "worker", "w1"), at(14, "h1", "job-ended", "job", jobA, "outcome", "completed"))
	g.Expect(s.Why).To(Equal([]string{"0.0.2 ran for 4.0 s on w2, half of its step's tasks for 1.2 s or less; its worker: contact-lost at 10:00:12.000"}))
}

// TestFailures lists each kind of failed request once, and no other job.
func TestFailures(t *testing.T) {
	g := NewWithT(t)
	job := func(n int) string { return fmt.Sprintf("cc%014d", n) }
	start := func(second float64, n int) string {
		return at(second, "h1", "task-started", "job", job(n), "task", job(n)+".0.0.0", "run", "1", "queued_ms", "100")
	}
	end := func(second float64, n int, outcome string) string {
		return at(second, "h1", "job-ended", "job", job(n), "outcome", outcome, "reason", "x")
	}
	l := NewLog("")
	for _, lines := range []string{
		at(1, "e1", "job-refused", "job", job(1), "reason", "no-queue", "request", "r1", "queue", "q"),
		at(2, "e1", "job-unknown", "job", job(2), "reason", "store-unanswered"),
		at(3, "e1", "job-accepted", "job", job(3)) + start(3.1, 3) + end(4, 3, "failed"),
		at(4, "e1", "job-accepted", "job", job(4)) + at(5, "h1", "job-waits", "job", job(4), "outcome", "room"),
		at(5, "e1", "job-accepted", "job", job(5)) + at(6, "h1", "job-waits", "job", job(5), "outcome", "room") + start(20, 5) + end(21, 5, "completed"),
		at(6, "e1", "job-refused", "job", job(6), "reason", "view-stale") + at(16, "e1", "job-accepted", "job", job(6)) + start(16.1, 6) + end(17, 6, "completed"),
		// These did not fail: served, told to have been refused once, with a time of its own, and still running.
		at(7, "e1", "job-accepted", "job", job(7)) + start(7.1, 7) + end(8, 7, "completed"),
		at(8, "e1", "job-refused", "job", job(8), "reason", "view-stale") + at(8.5, "e1", "job-accepted", "job", job(8)) + start(8.6, 8) + end(9, 8, "completed"),
		at(9, "e1", "job-accepted", "job", job(9)),
		at(9, "e1", "job-accepted", "job", job(10)) + start(9.1, 10),
		at(30, "e1", "m:configuration in force"),
	} {
		g.Expect(l.Read(strings.NewReader(lines))).To(Succeed())
	}
	got := map[string]Outcome{}
	failures := l.Failures(3 * time.Second)
	for _, f := range failures {
		got[f.Job] = f.Outcome
	}
	g.Expect(got).To(Equal(map[string]Outcome{job(1): Refused, job(2): Unknown, job(3): Failed, job(4): NotStarted, job(5): Late, job(6): Late}))
	g.Expect(failures[0]).To(Equal(Failure{At: failures[0].At, Job: job(1), Request: "r1", Queue: "q", Node: "e1", Outcome: Refused, Why: "refused by e1 at 10:00:01.000 (no-queue)"}))
	var b strings.Builder
	g.Expect(RenderFailures(&b, failures)).To(Succeed())
	g.Expect(b.String()).To(HaveSuffix("failed requests: 1 failed, 2 late, 1 not-started, 1 refused, 1 unknown\n"))
}

// TestNodeStories tells whether a node served at a time.
func TestNodeStories(t *testing.T) {
	for name, c := range map[string]struct{ lines, want string }{
		"killed":  {at(9, "e1", "m:configuration in force") + at(12, "e1", "m:started"), "when it started anew: its process had ended without a planned stop"},
		"stopped": {at(9, "e1", "m:stopped") + at(12, "e1", "m:started"), "it had been stopped, and was started again"},
		"silent":  {at(9, "e1", "m:configuration in force") + at(12, "e1", "m:configuration in force"), "and went on then"},
		"served":  {at(9.9, "e1", "m:configuration in force") + at(10.1, "e1", "m:configuration in force"), "it ran and read the store"},
		"cut off": {outageOf("e1", 8, 10.1) + at(9.9, "e1", "job-refused", "job", jobA), "it ran; e1 did not read the store from 10:00:08.000"},
		"last":    {at(9, "e1", "m:stopped"), "it wrote its last line at 10:00:09.000 (stopped)"},
		"unknown": {at(9, "e2", "m:started"), "no line of it is in the logs"},
	} {
		g := NewWithT(t)
		l := NewLog("")
		g.Expect(l.Read(strings.NewReader(c.lines))).To(Succeed())
		clock, err := ParseClock("10:00:10")
		g.Expect(err).NotTo(HaveOccurred())
		s, err := l.TellNode("e1", clock)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.State).To(ContainSubstring(c.want), name)
	}
	_, err := ParseClock("yesterday")
	NewWithT(t).Expect(err).To(HaveOccurred())
}

// TestAsked finds the job of a caller's request.
func TestAsked(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../test/logs/takeover.log")
	g.Expect(err).NotTo(HaveOccurred())
	l := NewLog("7445E81826bc7ba2")
	g.Expect(l.Read(strings.NewReader(string(data)))).To(Succeed())
	g.Expect(l.Asked()).To(Equal("f94eafada5bc3e3d"))
	l = NewLog("f94eafada5bc3e3d")
	g.Expect(l.Read(strings.NewReader(string(data)))).To(Succeed())
	g.Expect(l.Asked()).To(BeEmpty())
}

// TestWaitsAreWorded checks that the story has words for each outcome of
// job-waits that the dispatcher decides.
func TestWaitsAreWorded(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../dispatch/wait.go")
	g.Expect(err).NotTo(HaveOccurred())
	decided := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^	reason\w+\s+= "([a-z-]+)"`).FindAllStringSubmatch(string(data), -1) {
		decided[m[1]] = true
	}
	_, list, found := strings.Cut(string(data), "var refusals = []string{")
	g.Expect(found).To(BeTrue())
	list, _, _ = strings.Cut(list, "}")
	for _, m := range regexp.MustCompile(`"([a-z-]+)"`).FindAllStringSubmatch(list, -1) {
		decided[m[1]] = true
	}
	g.Expect(decided).To(HaveLen(len(missing)))
	for outcome := range missing {
		g.Expect(decided).To(HaveKey(outcome))
	}
}

// TestOtherServices checks that a lost policy service is not taken for the store.
func TestOtherServices(t *testing.T) {
	g := NewWithT(t)
	s, _ := tell(t, jobA, at(12, "e1", "job-refused", "job", jobA, "reason", "view-stale"), strings.ReplaceAll(outageOf("e1", 10, 14), `"jobs"`, `"advice"`))
	g.Expect(s.Why).To(Equal([]string{"refused by e1 at 10:00:12.000 (view-stale)"}))
}
