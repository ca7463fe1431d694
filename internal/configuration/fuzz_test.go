package configuration_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// FuzzDecode checks that any bytes in the log either are refused as malformed
// or have a bounded effect that every host sees alike, and stop nothing.
func FuzzDecode(f *testing.F) {
	seeds, _ := filepath.Glob("testdata/records/*.json")
	if len(seeds) == 0 {
		f.Fatal("no seeds")
	}
	for _, name := range seeds {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	good, err := configuration.Encode(configuration.Record{ID: "after", Ops: []configuration.Op{{Team: &configuration.Team{Name: "crews"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := configuration.Decode(data)
		if err != nil && !errors.Is(err, configuration.ErrMalformed) {
			t.Fatalf("error of another kind: %v", err)
		}
		var states [2][]byte
		for i := range states {
			v := configuration.NewView()
			v.Feed(0, []configuration.Numbered{{Offset: 0, Data: data}, {Offset: 1, Data: good}})
			if (v.Malformed > 0) != (err != nil) {
				t.Fatalf("malformed %d, error %v", v.Malformed, err)
			}
			if v.Next() != 2 || r.ID != "after" && v.Catalog.Teams["crews"].Version != 1 {
				t.Fatalf("stopped at %d", v.Next())
			}
			for _, name := range v.Catalog.WorkloadNames() {
				if n := len(configuration.Tasks(v.Catalog.Workloads[name], "south")); n > 1_000_000 {
					t.Fatalf("%d tasks", n)
				}
			}
			if states[i], err = json.Marshal(v.Catalog.Clone()); err != nil {
				t.Fatal(err)
			}
			_, err = configuration.Decode(data)
		}
		if !bytes.Equal(states[0], states[1]) {
			t.Fatal("two hosts differ")
		}
	})
}
