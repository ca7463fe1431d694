// Package trace keeps what a scheduler core got and returned, one JSON object a
// line, and replays it. The first line is the Header; each later line is a
// Step. docs/design/proof.md describes the format.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Version is the version of the format.
const Version = 1

// Header is the first line of a trace.
type Header struct {
	Version int `json:"trace"`
	// Source tells whether the trace was recorded from a run or written by the
	// seeded generator.
	Source   string             `json:"source"`
	Settings scheduler.Settings `json:"settings"`
}

// Step is one event and what the core made of it.
type Step struct {
	// At is the local time of the step in nanoseconds.
	At      time.Duration   `json:"at"`
	Event   string          `json:"event"`
	Payload json.RawMessage `json:"payload"`
	// Effects is the number of effects, and Digest their digest.
	Effects int    `json:"effects"`
	Digest  string `json:"digest,omitempty"`
}

// events maps the names of event types to the types.
var events = map[string]reflect.Type{}

func init() {
	for _, ev := range []scheduler.Event{
		scheduler.Tick{}, scheduler.LogRead{}, scheduler.HostsRead{}, scheduler.WriteReplied{},
		scheduler.WriteFailed{}, scheduler.TenureRead{}, scheduler.TenureUnread{}, scheduler.TenureAppended{}, scheduler.AppendDone{}, scheduler.Leave{},
		scheduler.SlotsIdle{},
	} {
		t := reflect.TypeOf(ev)
		events[t.Name()] = t
	}
}

// Writer writes a trace. It isn't safe for concurrent use.
type Writer struct {
	out *json.Encoder
	err error
}

// NewWriter begins a trace.
func NewWriter(out io.Writer, h Header) (*Writer, error) {
	h.Version = Version
	w := &Writer{out: json.NewEncoder(out)}
	return w, errors.WithStack(w.out.Encode(h))
}

// Record writes one step. After an error it writes nothing more.
func (w *Writer) Record(at time.Duration, ev scheduler.Event, effects []scheduler.Effect) {
	if w.err != nil {
		return
	}
	var payload []byte
	if payload, w.err = json.Marshal(ev); w.err != nil {
		return
	}
	s := Step{At: at, Event: reflect.TypeOf(ev).Name(), Payload: payload, Effects: len(effects)}
	if len(effects) > 0 {
		s.Digest = Digest(effects)
	}
	w.err = w.out.Encode(s)
}

// Err returns the first error.
func (w *Writer) Err() error { return errors.WithStack(w.err) }

// Digest sums up effects and their order.
func Digest(effects []scheduler.Effect) string {
	h := fnv.New64a()
	for _, e := range effects {
		data, err := json.Marshal(e)
		if err != nil {
			panic(err) // effects hold nothing that can't be written
		}
		fmt.Fprintf(h, "%T", e)
		h.Write(data)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// ErrMalformed marks a trace that can't be read.
var ErrMalformed = errors.New("malformed trace")

// Reader reads a trace.
type Reader struct {
	Header Header
	lines  *bufio.Scanner
	line   int
}

// maxLine bounds one line of a trace in bytes.
const maxLine = 64 << 20

// NewReader reads the header.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{lines: bufio.NewScanner(in)}
	r.lines.Buffer(nil, maxLine)
	if err := r.read(&r.Header); err != nil {
		return nil, err
	}
	if r.Header.Version != Version {
		return nil, errors.Wrapf(ErrMalformed, "version %d", r.Header.Version)
	}
	return r, nil
}

func (r *Reader) read(v any) error {
	if !r.lines.Scan() {
		if err := r.lines.Err(); err != nil {
			return errors.WithStack(err)
		}
		return io.EOF
	}
	r.line++
	if err := json.Unmarshal(r.lines.Bytes(), v); err != nil {
		return errors.Wrapf(ErrMalformed, "line %d: %v", r.line, err)
	}
	return nil
}

// Next returns the next step and its event, or io.EOF.
func (r *Reader) Next() (Step, scheduler.Event, error) {
	var s Step
	if err := r.read(&s); err != nil {
		return s, nil, err
	}
	t, ok := events[s.Event]
	if !ok {
		return s, nil, errors.Wrapf(ErrMalformed, "line %d: event %q", r.line, s.Event)
	}
	ev := reflect.New(t)
	if err := json.Unmarshal(s.Payload, ev.Interface()); err != nil {
		return s, nil, errors.Wrapf(ErrMalformed, "line %d: %v", r.line, err)
	}
	return s, ev.Elem().Interface().(scheduler.Event), nil
}
