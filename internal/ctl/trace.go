package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/story"
)

// defaultLate is how long nothing of a job runs before it counts as late.
const defaultLate = 3 * time.Second

// trace tells one job's story from the processes' logs, or lists failed requests.
func (t *tool) trace() *cobra.Command {
	var failed bool
	var late time.Duration
	var node, at string
	cmd := &cobra.Command{
		Use:   "trace {ID | --failed | --node NODE --at TIME} FILE...",
		Short: "Tell from the processes' logs what became of a job, and why",
		Long: `Tell from the processes' logs what became of a job, and why.

Each FILE holds JSON log lines of one or more nodes, in any order; what a
collector has put before the JSON is passed over. FILE may be - for the standard
input. ID is the job's, or the one that the caller gave its request.

With --failed it lists instead the requests that failed: refused, of unknown
outcome, carried out in vain, never started or late; each with its job's id and
its cause. With --node and --at it tells what a node did around a time of day,
for requests that no line names.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if failed {
				return t.listFailed(args, late)
			}
			if node != "" {
				return t.tellNode(node, at, args)
			}
			if len(args) < 2 {
				return errors.New("trace needs an ID and at least one FILE, or --failed, or --node and --at")
			}
			return t.traceID(args[0], args[1:])
		},
	}
	cmd.Flags().BoolVar(&failed, "failed", false, "list the requests that failed")
	cmd.Flags().DurationVar(&late, "late", defaultLate, "with --failed: how long nothing of a job runs before it counts as late")
	cmd.Flags().StringVar(&node, "node", "", "tell what this node did around --at")
	cmd.Flags().StringVar(&at, "at", "", "time of day in the logs, like 15:04:05")
	cmd.MarkFlagsRequiredTogether("node", "at")
	cmd.MarkFlagsMutuallyExclusive("node", "failed")
	return cmd
}

func (t *tool) tellNode(node, at string, files []string) error {
	clock, err := story.ParseClock(at)
	if err != nil {
		return err
	}
	log := story.NewLog("")
	if err := t.readLogs(log, files); err != nil {
		return err
	}
	s, err := log.TellNode(node, clock)
	if err != nil {
		return err
	}
	return s.Render(t.out)
}

// traceID tells the story of a job, by its ID or by that of a request for it.
func (t *tool) traceID(id string, files []string) error {
	var input []byte
	for _, name := range files {
		if name == "-" {
			data, err := io.ReadAll(t.in)
			if err != nil {
				return errors.WithStack(err)
			}
			input = data
		}
	}
	read := func(id string) (*story.Log, error) {
		t.in = bytes.NewReader(input)
		log := story.NewLog(id)
		return log, t.readLogs(log, files)
	}
	log, err := read(id)
	if err != nil {
		return err
	}
	if job := log.Asked(); job != "" {
		if log, err = read(job); err != nil {
			return err
		}
	}
	return t.tellStory(log, nil)
}

func (t *tool) listFailed(files []string, late time.Duration) error {
	log := story.NewLog("")
	if err := t.readLogs(log, files); err != nil {
		return err
	}
	return story.RenderFailures(t.out, log.Failures(late))
}

func (t *tool) readLogs(log *story.Log, files []string) error {
	for _, name := range files {
		if err := t.readLog(log, name); err != nil {
			return err
		}
	}
	return nil
}

func (t *tool) readLog(log *story.Log, name string) error {
	if name == "-" {
		return log.Read(t.in)
	}
	f, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	return log.Read(f)
}

func (t *tool) tellStory(log *story.Log, notes []string) error {
	s := log.Tell()
	if log.Unreadable > 0 {
		s.Notes = append(s.Notes, fmt.Sprintf("%d lines with a brace are no log lines", log.Unreadable))
	}
	s.Notes = append(s.Notes, notes...)
	return s.Render(t.out)
}

// explainJob tells the same from the newest lines that the nodes keep.
func (t *tool) explainJob(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, t.flags.Timeout)
	defer cancel()
	t.showView(ctx, id)
	log, notes := t.readNodes(ctx, id)
	if job := log.Asked(); job != "" {
		log, notes = t.readNodes(ctx, job)
	}
	if len(notes) == len(t.flags.Nodes) {
		return errors.Errorf("no node answered:\n  %s", strings.Join(notes, "\n  "))
	}
	return t.tellStory(log, notes)
}

// readNodes reads what the nodes keep of a job, and names those out of reach.
func (t *tool) readNodes(ctx context.Context, id string) (*story.Log, []string) {
	log := story.NewLog(id)
	var notes []string
	for _, base := range t.flags.Nodes {
		if err := t.readRecent(ctx, log, base, id); err != nil {
			notes = append(notes, fmt.Sprintf("out of reach: %s: %v", base, err))
		}
	}
	return log, notes
}

func (t *tool) readRecent(ctx context.Context, log *story.Log, base, id string) error {
	if err := reach(ctx, base); err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/recent?job="+url.QueryEscape(id), nil)
	if err != nil {
		return errors.WithStack(err)
	}
	res, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	return log.Read(res.Body)
}
