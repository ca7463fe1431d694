package story

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// cluster is what the lines that name no job tell of the nodes.
type cluster struct {
	nodes   map[string]bool
	outages []outage
	terms   []term
	// lives holds when each node's processes started and stopped.
	lives map[string][]life
	end   time.Time
	// loads are the lines on nodes' readings of all jobs.
	loads []*Line
}

// outage is a time in which a node did not read one of its views.
type outage struct {
	node, view string
	// from is when the view was last read; to is zero if it was not read again.
	from, to time.Time
}

// term is one holding of the right to place.
type term struct {
	node, token string
	// began, dispatched and ended are zero if no line tells them.
	began, dispatched, ended time.Time
	reason                   string
}

// life is one process of a node.
type life struct{ started, leaves, stopped time.Time }

// notOfStore are the dependencies that are not read from the store.
var notOfStore = map[string]bool{"advice": true, "machines": true}

func newCluster(lines []Line) *cluster {
	c := &cluster{nodes: map[string]bool{}, lives: map[string][]life{}}
	for i := range lines {
		l := &lines[i]
		c.nodes[l.Node], c.end = true, l.Time
		switch l.Kind {
		case "dependency-lost":
			if notOfStore[l.Text("view")] {
				continue
			}
			c.outages = append(c.outages, outage{node: l.Node, view: l.Text("view"), from: l.Time.Add(-l.millis("age_ms"))})
		case "dependency-regained":
			c.regained(l)
		case "view-loading", "view-loaded":
			c.loads = append(c.loads, l)
		case "started":
			c.started(l)
		case "planned stop begins":
			c.life(l).leaves = l.Time
		case "stopped", "stopped at once":
			c.life(l).stopped = l.Time
		case "term begins":
			c.terms = append(c.terms, term{node: l.Node, token: l.Text("token"), began: l.Time})
		case "dispatching":
			c.term(l).dispatched = l.Time
		case "term ends":
			t := c.term(l)
			t.ended, t.reason = l.Time, l.Text("reason")
		}
	}
	return c
}

func (c *cluster) regained(l *Line) {
	for i := range c.outages {
		o := &c.outages[i]
		if o.node == l.Node && o.view == l.Text("view") && o.to.IsZero() {
			o.to = l.Time
		}
	}
}

// started begins a node's next life. What its former process had lost is not
// lost any longer.
func (c *cluster) started(l *Line) {
	c.lives[l.Node] = append(c.lives[l.Node], life{started: l.Time})
	for i := range c.outages {
		if o := &c.outages[i]; o.node == l.Node && o.to.IsZero() {
			o.to = l.Time
		}
	}
}

// life returns the node's present life.
func (c *cluster) life(l *Line) *life {
	all := c.lives[l.Node]
	if len(all) == 0 {
		all = append(all, life{})
		c.lives[l.Node] = all
	}
	return &all[len(all)-1]
}

// term returns the term that a line tells of.
func (c *cluster) term(l *Line) *term {
	token := l.Text("token")
	i := slices.IndexFunc(c.terms, func(t term) bool { return t.token == token })
	if i < 0 {
		c.terms = append(c.terms, term{node: l.Node, token: token, began: l.Time})
		i = len(c.terms) - 1
	}
	return &c.terms[i]
}

// startTime is how long a node needs for its first reads.
const startTime = 3 * time.Second

// storeOut tells which nodes did not read the store around a time, empty if
// this one did.
func (c *cluster) storeOut(node string, at time.Time) string {
	before, after := at.Add(-time.Second), at.Add(afterwards)
	var from, to time.Time
	lost := map[string]bool{}
	for i := range c.outages {
		o := &c.outages[i]
		if o.from.After(after) || !o.to.IsZero() && o.to.Before(before) {
			continue
		}
		lost[o.node] = true
		if o.node != node {
			continue
		}
		if from.IsZero() || o.from.Before(from) {
			from = o.from
		}
		if end := o.until(c.end); end.After(to) {
			to = end
		}
	}
	if !lost[node] {
		return c.fresh(node, at)
	}
	span := fmt.Sprintf("%s did not read the store from %s to %s", node, from.Format(clockLayout), to.Format(clockLayout))
	switch {
	case len(lost) == len(c.nodes) && len(lost) > 1:
		return span + fmt.Sprintf(", nor did the other %d nodes: the store was out", len(lost)-1)
	case len(lost) == 1:
		return span + fmt.Sprintf(", the other %d nodes did: its own link or process", len(c.nodes)-1)
	}
	return span + fmt.Sprintf(", nor did %d of the %d others", len(lost)-1, len(c.nodes)-1)
}

func (o *outage) until(end time.Time) time.Time {
	if o.to.IsZero() {
		return end
	}
	return o.to
}

// loading tells how far a node was with reading all jobs at a time, and until
// when it read; empty if no line says so.
func (c *cluster) loading(node string, at time.Time) string {
	var text string
	for _, l := range c.loads {
		if l.Node != node {
			continue
		}
		switch {
		case l.Kind == "view-loaded" && l.Time.Before(at):
			text = ""
		case l.Kind == "view-loaded":
			return text + fmt.Sprintf("%s had read all %s jobs' records at %s, %s ms after it began", node, l.Text("records"), l.Time.Format(clockLayout), l.Text("took_ms"))
		case l.Time.Before(at):
			text = fmt.Sprintf("%s had read %s jobs' records at %s and waited for %s; ", node, l.Text("records"), l.Time.Format(clockLayout), l.Text("waits_for"))
		}
	}
	if text == "" {
		return ""
	}
	return text + "no line tells that it was done"
}

// fresh tells that a node had only just started, or was leaving.
func (c *cluster) fresh(node string, at time.Time) string {
	for _, x := range c.lives[node] {
		if !x.started.IsZero() && at.After(x.started) && at.Sub(x.started) < startTime {
			return fmt.Sprintf("%s had started at %s", node, x.started.Format(clockLayout))
		}
		if !x.leaves.IsZero() && at.After(x.leaves) && (x.stopped.IsZero() || at.Before(x.stopped)) {
			return fmt.Sprintf("%s was being stopped from %s on", node, x.leaves.Format(clockLayout))
		}
	}
	return ""
}

// takeovers tells who took over placing in a time, and why.
func (c *cluster) takeovers(from, to time.Time) []string {
	var out []string
	for i := range c.terms {
		t := &c.terms[i]
		if i == 0 || t.dispatched.Before(from) || t.dispatched.After(to) {
			continue
		}
		out = append(out, fmt.Sprintf("%s took over placing at %s: %s", t.node, t.dispatched.Format(clockLayout), c.ending(&c.terms[i-1], t)))
	}
	return out
}

// ending tells why a term gave way to the next one.
func (c *cluster) ending(t, next *term) string {
	for _, x := range c.lives[t.node] {
		if x.started.After(t.began) && !x.started.After(next.began.Add(startTime)) && t.ended.IsZero() {
			return fmt.Sprintf("%s ended without a planned stop and started anew at %s", t.node, x.started.Format(clockLayout))
		}
	}
	switch {
	case t.reason == "a planned stop":
		return fmt.Sprintf("%s was stopped as planned at %s", t.node, t.ended.Format(clockLayout))
	case t.ended.IsZero():
		return t.node + " wrote no more lines of its term: it was killed, stood still or was cut off"
	}
	text := fmt.Sprintf("the term of %s ended at %s (%s)", t.node, t.ended.Format(clockLayout), t.reason)
	if out := c.storeOut(t.node, next.began); out != "" && !strings.Contains(out, "had started") {
		text += "; " + out
	}
	return text
}
