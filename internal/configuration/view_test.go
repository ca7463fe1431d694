package configuration_test

import (
	"flag"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// script builds a log of random records and the catalogs they add up to, by
// next offset. Snapshots of the state just before them are mixed in.
func script(t *rapid.T, n int) ([]configuration.Numbered, []*configuration.Catalog) {
	var log []configuration.Numbered
	cat := configuration.NewCatalog()
	states := []*configuration.Catalog{cat.Clone()}
	for i := range n {
		r := configuration.Record{ID: fmt.Sprint(rapid.IntRange(0, 2*n).Draw(t, "id")), Actor: "a"}
		if rapid.IntRange(0, 3).Draw(t, "snapshot") == 0 {
			r.ID = fmt.Sprint("snapshot", i)
			r.Snapshot = &configuration.Snapshot{Catalog: cat.Clone()}
		} else {
			team := configuration.Team{Name: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "team")), Weight: int64(i)}
			r.Ops = []configuration.Op{{Team: &team}}
		}
		data, err := configuration.Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, configuration.Numbered{Offset: int64(i), Data: data})
		cat.Apply(int64(i), r)
		states = append(states, cat.Clone())
	}
	return log, states
}

// TestViewFollows feeds a view pages of the log and of peers in any order, with
// records gone from the log's beginning: it holds the state of its offset when
// complete, never goes back, and reaches the end.
func TestViewFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, states := script(t, 12)
		v := configuration.NewView()
		first, last := 0, int64(0)
		check := func() {
			if !v.Complete() {
				return
			}
			next := v.Catalog.Next
			if next < last || v.Next() != next {
				t.Fatalf("position %d, catalog at %d, before %d", v.Next(), next, last)
			}
			last = next
			if !reflect.DeepEqual(v.Catalog.Clone(), states[next]) {
				t.Fatalf("state at %d differs", next)
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "pages") {
			end := rapid.IntRange(first, len(log)).Draw(t, "end")
			if rapid.Bool().Draw(t, "relayed") {
				from := rapid.IntRange(0, end).Draw(t, "from")
				v.Feed(-1, log[from:end])
			} else {
				v.Feed(int64(first), log[min(max(int(v.Next()), first), end):end])
			}
			check()
			first = rapid.IntRange(first, max(first, end-1)).Draw(t, "first")
		}
		v.Feed(int64(first), log[max(int(v.Next()), first):])
		check()
		if first == 0 && (!v.Complete() || v.Catalog.Next != int64(len(log))) {
			t.Fatalf("not at the end: complete %t at %d", v.Complete(), v.Catalog.Next)
		}
	})
}

// TestViewTakesRelayedBeginning is the shortest history of a fault: a peer's
// records came before the first page of the log, and were passed over.
func TestViewTakesRelayedBeginning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, states := script(t, 3)
		v := configuration.NewView()
		v.Feed(-1, log[:2])
		v.Feed(0, log[2:])
		if v.Next() != 3 || !reflect.DeepEqual(v.Catalog.Clone(), states[3]) {
			t.Fatalf("at %d with %d outcomes", v.Next(), len(v.Catalog.Recent))
		}
	})
}
