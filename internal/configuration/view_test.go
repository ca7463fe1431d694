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

// follow feeds a view pages of the log and of peers in any order, with records
// gone from the log's beginning. It returns what the view got wrong, or nothing.
func follow(t *rapid.T, v *configuration.View) string {
	log, states := script(t, 12)
	first, last := 0, int64(0)
	for range rapid.IntRange(0, 20).Draw(t, "pages") {
		end := rapid.IntRange(first, len(log)).Draw(t, "end")
		if rapid.Bool().Draw(t, "relayed") {
			from := rapid.IntRange(0, end).Draw(t, "from")
			v.Feed(-1, log[from:end])
		} else {
			v.Feed(int64(first), log[min(max(int(v.Next()), first), end):end])
		}
		if fault := judge(v, last, states); fault != "" {
			return fault
		}
		last = v.Catalog.Next
		first = rapid.IntRange(first, max(first, end-1)).Draw(t, "first")
	}
	v.Feed(int64(first), log[max(int(v.Next()), first):])
	if first == 0 && (!v.Complete() || v.Catalog.Next != int64(len(log))) {
		return fmt.Sprintf("not at the end: complete %t at %d", v.Complete(), v.Catalog.Next)
	}
	return judge(v, last, states)
}

// judge returns what is wrong with a complete view: it holds the state of its
// offset and never goes back.
func judge(v *configuration.View, last int64, states []*configuration.Catalog) string {
	next := v.Catalog.Next
	switch {
	case !v.Complete():
		return ""
	case next < last || v.Next() != next:
		return fmt.Sprintf("position %d, catalog at %d, before %d", v.Next(), next, last)
	case !reflect.DeepEqual(v.Catalog.Clone(), states[next]):
		return fmt.Sprintf("state at %d differs", next)
	}
	return ""
}

// TestViewFollows: a view is right whatever pages come.
func TestViewFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := follow(t, configuration.NewView()); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestGapRuleIsNeeded: a view that applies records after a gap gets it wrong.
func TestGapRuleIsNeeded(t *testing.T) {
	histories := rapid.Custom(func(t *rapid.T) string {
		v := configuration.NewView()
		v.SkipGaps()
		return follow(t, v)
	})
	for seed := range 1000 {
		if fault := histories.Example(seed); fault != "" {
			t.Logf("seed %d: %s", seed, fault)
			return
		}
	}
	t.Error("no history shows the need")
}

// TestRepeatRuleIsNeeded: an operator whose reply was lost appends a change
// again, after another's change. Without the rule the other's is undone.
func TestRepeatRuleIsNeeded(t *testing.T) {
	weigh := func(c *configuration.Catalog) int64 {
		for i, r := range []struct {
			id     string
			weight int64
		}{{"mine", 1}, {"theirs", 2}, {"mine", 1}} {
			team := configuration.Team{Name: "crews", Weight: r.weight}
			c.Apply(int64(i), configuration.Record{ID: r.id, Ops: []configuration.Op{{Team: &team}}})
		}
		return c.Teams["crews"].Value.Weight
	}
	if got := weigh(configuration.NewCatalog()); got != 2 {
		t.Errorf("weight %d: the repeated record had an effect", got)
	}
	without := configuration.NewCatalog()
	without.Repeat()
	if weigh(without) != 1 {
		t.Error("the rule makes no difference")
	}
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
