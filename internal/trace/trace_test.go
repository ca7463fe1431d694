package trace_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/trace"
)

// TestTraces replays the traces of the repository against the outcomes beside them.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("../../test/traces/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			data, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			got, err := trace.Replay(bytes.NewReader(data))
			if err != nil {
				t.Fatal(err)
			}
			stated, err := os.ReadFile(strings.TrimSuffix(name, ".jsonl") + ".outcome.json")
			if err != nil {
				t.Fatal(err)
			}
			var want trace.Outcome
			if err := json.Unmarshal(stated, &want); err != nil {
				t.Fatal(err)
			}
			if got != want {
				t.Errorf("got %+v, stated is %+v", got, want)
			}
			expectMismatch(t, data)
		})
	}
}

// expectMismatch checks that a trace with one changed digest is refused.
func expectMismatch(t *testing.T, data []byte) {
	t.Helper()
	i := bytes.Index(data, []byte(`"digest":"`)) + len(`"digest":"`)
	changed := bytes.Clone(data)
	changed[i] ^= 1
	_, err := trace.Replay(bytes.NewReader(changed))
	var mismatch *trace.MismatchError
	if !errors.As(err, &mismatch) {
		t.Errorf("a changed digest was passed: %v", err)
	}
}

// TestMalformed checks that lines that can't be read give a typed error.
func TestMalformed(t *testing.T) {
	for _, text := range []string{
		"{", `{"trace":2}`, "{\"trace\":1}\n{\"event\":\"Nothing\"}", "{\"trace\":1}\n{\"event\":\"Tick\",\"payload\":3}",
	} {
		if _, err := trace.Replay(strings.NewReader(text)); !errors.Is(err, trace.ErrMalformed) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// TestEveryEventIsReplayed checks that a recorded trace may hold each event of
// the core: the scheduler's package declares which types are events.
func TestEveryEventIsReplayed(t *testing.T) {
	source, err := os.ReadFile("../scheduler/events.go")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^type (\w+) struct ?\{\s*isEvent\b`).FindAllSubmatch(source, -1)
	if len(found) < 9 {
		t.Fatalf("%d events found", len(found))
	}
	for _, m := range found {
		text := `{"trace":1}` + "\n" + `{"at":1,"event":"` + string(m[1]) + `","payload":{},"effects":0}` + "\n"
		if _, err := trace.Replay(strings.NewReader(text)); err != nil {
			t.Errorf("%s: %v", m[1], err)
		}
	}
}
