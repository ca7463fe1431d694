package story

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// around is how much of a node's story is told before and after a time.
const around = 5 * time.Second

// silence is how long a node writes no line before that is told: a serving node
// writes one for each job.
const silence = time.Second

// NodeStory is what a node did around a time.
type NodeStory struct {
	Node string
	At   time.Time
	// Lines are those that name no job.
	Lines []Line
	// State says whether the node served then.
	State string
}

// TellNode tells what a node did around a time of day, as the log's first day has it.
func (l *Log) TellNode(node string, clock time.Duration) (NodeStory, error) {
	all := l.sorted()
	if len(all) == 0 {
		return NodeStory{}, errors.New("the logs hold no line")
	}
	at := all[0].Time.Truncate(24 * time.Hour).Add(clock)
	s := NodeStory{Node: node, At: at}
	var before, after *Line
	for i := range all {
		x := &all[i]
		if x.Node != node {
			continue
		}
		if !x.Time.After(at) {
			before = x
		} else if after == nil {
			after = x
		}
		if gap := x.Time.Sub(at); x.Job == "" && gap > -around && gap < around {
			s.Lines = append(s.Lines, *x)
		}
	}
	s.State = newCluster(all).state(node, at, before, after)
	return s, nil
}

// state says whether a node served at a time, by the lines around it.
func (c *cluster) state(node string, at time.Time, before, after *Line) string {
	switch {
	case before == nil && after == nil:
		return "no line of it is in the logs"
	case before == nil:
		return "it wrote its first line at " + after.Time.Format(clockLayout)
	case after == nil:
		return "it wrote its last line at " + before.Time.Format(clockLayout) + " (" + before.Kind + ")"
	}
	gone := fmt.Sprintf("it wrote no line from %s to %s", before.Time.Format(clockLayout), after.Time.Format(clockLayout))
	switch {
	case after.Kind == "started" && strings.HasPrefix(before.Kind, "stopped"):
		return gone + ": it had been stopped, and was started again"
	case after.Kind == "started":
		return gone + ", when it started anew: its process had ended without a planned stop"
	case after.Time.Sub(before.Time) >= silence:
		return gone + " and went on then: it stood still, was cut off from its callers, or had nothing to do"
	}
	if out := c.storeOut(node, at); out != "" {
		return "it ran; " + out
	}
	return "it ran and read the store"
}

// Render writes the story for people.
func (s *NodeStory) Render(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node %s at %s\n", s.Node, s.At.Format(clockLayout))
	for i := range s.Lines {
		l := &s.Lines[i]
		fmt.Fprintf(&b, "%s %+9.3f s  %s%s\n", l.Time.Format(clockLayout), l.Time.Sub(s.At).Seconds(), l.Kind, fields(l, nil))
	}
	fmt.Fprintf(&b, "state: %s\n", s.State)
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

// clockLayouts are the forms of a time of day.
var clockLayouts = []string{"15:04:05.999999999", "15:04"}

// ParseClock reads a time of day.
func ParseClock(text string) (time.Duration, error) {
	for _, layout := range clockLayouts {
		if t, err := time.Parse(layout, text); err == nil {
			return t.Sub(t.Truncate(24 * time.Hour)), nil
		}
	}
	return 0, errors.Errorf("%q is no time of day like 15:04:05.123", text)
}
