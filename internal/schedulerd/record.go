package schedulerd

import (
	"bufio"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/trace"
)

// recorder returns what records the core's steps in a file, and what closes it;
// without a name nothing is recorded.
func recorder(name string, set scheduler.Settings) (func(time.Duration, scheduler.Event, []scheduler.Effect), func(), error) {
	if name == "" {
		return nil, func() {}, nil
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "record")
	}
	buffered := bufio.NewWriter(f)
	w, err := trace.NewWriter(buffered, trace.Header{Source: "recorded from a run", Settings: set})
	if err != nil {
		return nil, nil, err
	}
	return w.Record, func() {
		_ = buffered.Flush()
		_ = f.Close()
	}, nil
}
