// Package story tells what became of jobs, and why, from the log lines of many processes.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one line of a process's log.
type Line struct {
	Time time.Time
	Node string
	// Kind is what was decided, or the message of lines without a kind.
	Kind string
	Job  string
	// Fields holds all fields of the line.
	Fields map[string]any
	// collected is the collector's own time, in seconds, if it wrote one before the line.
	collected float64
	hasOwn    bool
}

// Text returns a field as text, empty if there is none.
func (l *Line) Text(field string) string {
	switch v := l.Fields[field].(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	case nil:
		return ""
	default:
		data, err := json.Marshal(v)
		if err != nil {
			return ""
		}
		return string(data)
	}
}

// millis returns a field that holds milliseconds, 0 if there is none.
func (l *Line) millis(field string) time.Duration {
	n, err := strconv.ParseInt(l.Text(field), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// Log holds lines of some processes' logs: all of them, or those that have to
// do with one job.
type Log struct {
	// id is the job, empty for all of them.
	id string
	// asked is the job of the request that has the ID, if one has.
	asked string
	// own holds lines that name a job, others those that name none.
	own, others []Line
	// ends counts the ends of all jobs' runs by worker.
	ends map[string]*tally
	// Unreadable counts lines with a JSON object that can't be read.
	Unreadable int
}

// NewLog returns an empty log of the job; without an ID it is of all jobs.
func NewLog(id string) *Log { return &Log{id: strings.ToLower(id), ends: map[string]*tally{}} }

var jobField, timeField, endKind = []byte(`"job":`), []byte(`"time":`), []byte(`"task-ended"`)

// Read takes in a log. Each line holds a JSON object, after whatever its
// collector has put before; other lines are passed over.
func (l *Log) Read(r io.Reader) error {
	in := bufio.NewReader(r)
	for {
		text, err := in.ReadBytes('\n')
		l.take(text)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}

// take takes in a line. A collector that joins pieces may have torn it: the end
// of one object is missing, and the next one follows.
func (l *Log) take(text []byte) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return
	}
	prefix, object := text[:begin], text[begin:]
	torn := bytes.Count(object, timeField) > 1
	if !torn && !l.names(object) && bytes.Contains(object, jobField) && !bytes.Contains(object, endKind) {
		return
	}
	line, ok := parse(object)
	if !ok {
		l.Unreadable++
	}
	for !ok {
		next := bytes.IndexByte(object[1:], '{')
		if next < 0 {
			return
		}
		prefix, object = object[:1+next], object[1+next:]
		line, ok = parse(object)
	}
	// The collector's time and its name of the process are the last words before the object.
	if words := strings.Fields(string(prefix)); len(words) > 0 {
		v, err := strconv.ParseFloat(words[max(0, len(words)-2)], 64)
		line.collected, line.hasOwn = v, err == nil
	}
	if line.Kind == "task-ended" {
		l.count(&line)
	}
	switch {
	case line.Job == "":
		l.others = append(l.others, line)
	case l.id == "" || strings.EqualFold(line.Job, l.id):
		l.own = append(l.own, line)
	case strings.EqualFold(line.Text("request"), l.id):
		l.asked = line.Job
	}
}

// Asked returns the job of the request that has the log's ID, empty if the ID
// is that of a job itself or no line names it.
func (l *Log) Asked() string {
	if len(l.own) > 0 {
		return ""
	}
	return l.asked
}

func (l *Log) count(end *Line) {
	t := l.ends[end.Text("worker")]
	if t == nil {
		t = &tally{}
		l.ends[end.Text("worker")] = t
	}
	t.all++
	if end.Text("outcome") == "failed" {
		t.failed++
	}
}

func (l *Log) names(object []byte) bool {
	return bytes.Contains(bytes.ToLower(object), []byte(l.id))
}

// parse reads a line's object. Objects that are no log lines have neither time nor message.
func parse(object []byte) (Line, bool) {
	d := json.NewDecoder(bytes.NewReader(object))
	d.UseNumber()
	var l Line
	if err := d.Decode(&l.Fields); err != nil {
		return l, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.Text("time"))
	if err != nil || l.Text("msg") == "" {
		return l, false
	}
	l.Time, l.Node, l.Job, l.Kind = at, l.Text("node"), l.Text("job"), l.Text("kind")
	if l.Kind == "" {
		l.Kind = l.Text("msg")
	}
	return l, true
}

// sorted returns all lines in order.
func (l *Log) sorted() []Line {
	all := append(append([]Line(nil), l.own...), l.others...)
	sortLines(all)
	return all
}

// sortLines orders lines by the processes' times; where these are of whole
// seconds only, by the collector's.
func sortLines(lines []Line) {
	collected := true
	for i := range lines {
		collected = collected && lines[i].hasOwn && lines[i].Time.Nanosecond() == 0
	}
	sort.SliceStable(lines, func(a, b int) bool {
		if collected {
			return lines[a].collected < lines[b].collected
		}
		return lines[a].Time.Before(lines[b].Time)
	})
	if collected {
		// The times between two seconds are the collector's.
		for i := range lines {
			gap := time.Duration((lines[i].collected - lines[0].collected) * float64(time.Second))
			lines[i].Time = lines[0].Time.Add(gap)
		}
	}
}
