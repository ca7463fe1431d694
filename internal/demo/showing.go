package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/console"
	"github.com/mimosaspool/mimosaspool/internal/ctl"
	"github.com/mimosaspool/mimosaspool/internal/emulator"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/node"
	statements "github.com/mimosaspool/mimosaspool/internal/operator"
	"github.com/mimosaspool/mimosaspool/internal/settings"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// The jobs that the operator of the demo declares.
const (
	stepsJob   = "00000000000000a1"
	gangJob    = "00000000000000a2"
	serviceJob = "00000000000000a3"
	largeJob   = "00000000000000a4"
	cutJob     = "00000000000000a5"
)

var declarations = []string{
	`declare job ` + stepsJob + ` queue batch spec "survey"
  step count 4 cpu 1 memory 1GiB run 1s
  step count 6 cpu 0.5 run 800ms most-per-worker 2 after 0
  step cpu 1 run 500ms after 0, 1;`,
	`declare job ` + gangJob + ` queue batch spec "sonar" step count 4 cpu 2 run 4s gang yes same-rack yes checkpointing yes;`,
	`declare job ` + serviceJob + ` queue serving spec "portal" step count 3 cpu 1 long-running yes target 200ms disruption-budget 1;`,
	`declare job ` + largeJob + ` queue batch spec "too large" step count 9 cpu 6 run 2s gang yes;`,
}

// The times of the demo.
const (
	demoLoad      = 9 * time.Second
	demoRate      = 6
	demoBoot      = 5 * time.Second
	demoBefore    = 1500 * time.Millisecond
	demoCut       = 2500 * time.Millisecond
	demoTakeover  = 10 * time.Second
	demoSettle    = 20 * time.Second
	demoAsk       = 5 * time.Second
	disruptPeriod = 500 * time.Millisecond
)

// stage is one run of the demo on nodes.
type stage struct {
	*site
	out   io.Writer
	began time.Time
	load  *emulator.Load
	// expected has the state that each of the operator's jobs must come to.
	expected map[string]workflow.State
	wrong    int
}

func (g *stage) tell(format string, args ...any) {
	fmt.Fprintf(g.out, "%6.2f s  %s\n", time.Since(g.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail tells of something that should not be.
func (g *stage) fail(format string, args ...any) {
	g.wrong++
	g.tell("WRONG: "+format, args...)
}

// runPlatform shows four nodes on the emulated platform under load, the kill of
// the holder and a cut from the store. It returns how many things went wrong.
func runPlatform(ctx context.Context, out, logs io.Writer, seed uint64) (int, error) {
	s, err := newSite(ctx, seed, logs)
	if err != nil {
		return 0, err
	}
	defer s.close()
	g := &stage{site: s, out: out, began: time.Now(), expected: map[string]workflow.State{}}
	names := []string{"n1", "n2", "n3", "n4"}
	for i, name := range names {
		s.boot(name, time.Duration(i)*50*time.Millisecond)
	}
	h, err := s.awaitHolder(demoBoot)
	if err != nil {
		return 0, err
	}
	g.tell("%d nodes run on %d workers; %s holds the right to place", len(names), emulatedWorkers, h.name)
	g.load = emulator.NewLoad(emulator.LoadConfig{Seed: seed, Rate: demoRate, Duration: demoLoad, Fleet: s.fleet, Retries: 10,
		Mixes: []emulator.Mix{{Queue: s.catalog.Queues["batch"], Weight: 1, Steps: emulator.Between{Least: 1, Most: 2}, Width: emulator.Between{Least: 1, Most: 3},
			EstimateMillis: emulator.Between{Least: 100, Most: 800}, Sizes: []workflow.Size{{MilliCPU: 500, MemoryMiB: 256}}, Gang: 0.2, Cancel: 0.1,
			CancelAfterMillis: emulator.Between{Least: 100, Most: 1500}}},
		Submit: func(ctx context.Context, q *workflow.Queue, job workflow.Job) (bool, bool) {
			return s.call(ctx, func(ctx context.Context, d intake.Service) intake.Outcome { return d.Submit(ctx, q, job) })
		},
		Cancel: func(ctx context.Context, q *workflow.Queue, id string) bool {
			ok, _ := s.call(ctx, func(ctx context.Context, d intake.Service) intake.Outcome {
				return d.Cancel(ctx, intake.Caller{Unrestricted: true}, q, id)
			})
			return ok
		}})
	s.group.Go(func() { g.load.Run(s.ctx) })
	if err := g.play(h); err != nil {
		return 0, err
	}
	return g.judge()
}

// play is what happens, one thing after the other.
func (g *stage) play(h *member) error {
	for _, text := range declarations {
		g.execute(g.asker("n2", false), text)
	}
	time.Sleep(demoBefore)
	g.execute(g.asker("n3", false), "show holder; list jobs where queue = serving; list steps of "+stepsJob+"; explain job "+largeJob+";")
	g.cancelJob(largeJob)
	g.execute(g.asker("n4", false), "list workers of dispatcher;")

	killed := time.Now()
	g.kill(h)
	g.tell("killed %s, which held the right", h.name)
	next, err := g.awaitHolder(demoTakeover)
	if err != nil {
		return err
	}
	g.tell("%s dispatches, %.2f s after the kill", next.name, time.Unix(0, next.tookOver.Load()).Sub(killed).Seconds())
	g.execute(g.asker(next.name, true), "show holder; list members;")

	var cut *member
	for _, m := range g.up() {
		if m != next {
			cut = m
		}
	}
	g.log.Down(true, cut.name)
	g.tell("cut the store from %s", cut.name)
	for end := time.Now().Add(demoCut); time.Now().Before(end); time.Sleep(disruptPeriod) {
		g.fleet.Judge().Disrupt()
		if _, asked := g.expected[cutJob]; !asked && time.Until(end) < demoCut/2 {
			g.execute(g.asker(cut.name, true), "declare job "+cutJob+" queue batch step cpu 1 run 300ms; show holder;")
		}
	}
	g.log.Down(false, cut.name)
	g.fleet.Judge().Disrupt()
	g.tell("the store is back at %s", cut.name)
	time.Sleep(demoBefore)
	g.cancelJob(serviceJob)
	return nil
}

// platformCommand returns the command that runs the demo on nodes.
func platformCommand(s *flags) *cobra.Command {
	return settings.Command("platform", "Show nodes on an emulated platform: jobs of all kinds, a kill and a cut", func(ctx context.Context) error {
		logs := io.Discard
		if s.Logs {
			logs = os.Stderr
		}
		n, err := runPlatform(ctx, os.Stdout, logs, s.Seed)
		if err == nil && n > 0 {
			err = errBreached
		}
		return err
	})
}

// execute carries statements out as the operators' tool does, and prints them
// with their answers.
func (g *stage) execute(a *console.Asker, text string) statements.Result {
	script, err := language.Parse(text)
	if err != nil {
		g.fail("%v", err)
		return statements.Result{}
	}
	for _, st := range script.Statements {
		if st.Declare != nil {
			job := st.Declare.Job.Value(time.Now())
			q := g.catalog.Queues[job.Queue]
			g.fleet.Know(&job, q.Pool, q.Attempts)
			g.expected[job.ID] = workflow.Completed
		}
	}
	ctx, cancel := context.WithTimeout(g.ctx, demoAsk)
	defer cancel()
	res, err := a.Execute(ctx, script, false)
	g.tell("%s", strings.Join(strings.Fields(text), " "))
	if err != nil {
		g.fail("%v", err)
	}
	var b strings.Builder
	ctl.Render(&b, res)
	for line := range strings.Lines(b.String()) {
		fmt.Fprint(g.out, "          ", line)
	}
	for _, j := range res.Jobs {
		if j.State != statements.Accepted {
			g.fail("job %s is %s", j.ID, j.State)
		}
	}
	return res
}

func (g *stage) cancelJob(id string) {
	g.expected[id] = workflow.Cancelled
	if res := g.execute(g.asker("", false), "cancel job "+id+";"); len(res.Jobs) == 1 && res.Jobs[0].State == statements.Accepted {
		g.fleet.Cancelled(id)
	}
}

// judge waits for all jobs and counts what is not as it should be.
func (g *stage) judge() (int, error) {
	ctx, cancel := context.WithTimeout(g.ctx, demoSettle)
	defer cancel()
	if err := g.load.Await(ctx); err != nil {
		g.fail("callers' jobs did not end in time: %v", err)
	}
	for _, m := range g.up() {
		g.await(ctx, m)
	}
	// What is cancelled may run on for the time that a stop takes.
	time.Sleep(demoBefore)
	g.tell("callers: %s", g.load.Report())
	breaches := g.fleet.Judge().Breaches()
	for _, b := range breaches {
		g.tell("breach: %s", b)
	}
	fmt.Fprintf(g.out, "platform: %d nodes left, %d breaches, %d other things wrong\n", len(g.up()), len(breaches), g.wrong)
	return len(breaches) + g.wrong, nil
}

// await waits until a node shows the end of each job, and tells what it shows.
func (g *stage) await(ctx context.Context, m *member) {
	want := map[string]workflow.State{}
	for id, state := range g.expected {
		want[id] = state
	}
	for _, j := range g.load.Accepted() {
		if p, _ := g.fleet.Progress(j.ID); !p.Finished.IsZero() {
			want[j.ID] = "" // completed, or cancelled in the same moment
		}
	}
	shown := map[workflow.State]int{}
	late := 0
	for id, state := range want {
		got, ok := node.JobState{}, false
		for {
			if got, ok = m.node.Job(id); ok && got.State.Final() || ctx.Err() != nil {
				break
			}
			time.Sleep(disruptPeriod / 10)
		}
		switch {
		case !ok || !got.State.Final():
			late++
		case state != "" && got.State != state || state == "" && got.State != workflow.Completed && got.State != workflow.Cancelled:
			g.fail("%s shows job %s as %s", m.name, id, got.State)
		}
		shown[got.State]++
	}
	if late > 0 {
		g.fail("%s does not show the end of %d jobs", m.name, late)
	}
	g.tell("%s shows %d completed, %d cancelled, %d failed", m.name, shown[workflow.Completed], shown[workflow.Cancelled], shown[workflow.Failed])
}
