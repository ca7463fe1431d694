package operator_test

import (
	"flag"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/operator"
)

// statement draws a change of one of two workloads.
func statement(r *rapid.T) string {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "name")
	return rapid.SampledFrom([]string{
		"declare service " + name + " cpu 1;",
		"declare service " + name + " cpu 2 count 2 if absent;",
		"set policy thrifty for service " + name + ";",
		"set count 3, policy careful for service " + name + ";",
		"cancel " + name + ";",
	}).Draw(r, "statement")
}

// round is a change on one host, and perhaps another one in the midst of it.
type round struct {
	first, second             string
	race, down, lossy, behind bool
}

// TestRacingOperatorsAreToldTheTruth lets two operators race on two hosts while
// replies of the log are lost, the log is down or a host is behind. Whatever
// one of them is told must be what the log says in the end.
func TestRacingOperatorsAreToldTheTruth(t *testing.T) {
	RegisterTestingT(t)
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(r *rapid.T) {
		var rounds []round
		for range rapid.IntRange(1, 6).Draw(r, "rounds") {
			rounds = append(rounds, round{
				first: statement(r), second: statement(r), race: rapid.Bool().Draw(r, "race"), lossy: rapid.Bool().Draw(r, "lossy"),
				down: rapid.IntRange(0, 4).Draw(r, "down") == 0, behind: rapid.IntRange(0, 4).Draw(r, "behind") == 0,
			})
		}
		var fault string
		synctest.Test(t, func(*testing.T) { fault = race(rounds) })
		if fault != "" {
			r.Fatal(fault)
		}
	})
}

// race plays the rounds and returns what somebody was told wrongly, or nothing.
func race(rounds []round) string {
	s, south, north := newSite()
	exec(south, domains())
	told, texts := map[string]operator.Outcome{}, map[string]string{}
	ask := func(n *node, id, text string) {
		texts[id] = text
		if res := try(n, operator.Request{Text: text, Actor: id, ChangeID: id}); res.Change != nil {
			told[id] = *res.Change
		}
	}
	set := func(r round) {
		s.mu.Lock()
		defer s.mu.Unlock()
		south.down, south.lossy, south.behind = r.down, r.lossy, r.behind
	}
	for i, r := range rounds {
		set(r)
		south.appended = func() {
			south.appended = nil
			if r.race {
				ask(north, fmt.Sprintf("north-%d", i), r.second)
			}
		}
		ask(south, fmt.Sprintf("south-%d", i), r.first)
		synctest.Wait()
		south.appended = nil
	}
	set(round{})
	exec(south, "declare team last;")
	for _, id := range slices.Sorted(maps.Keys(told)) {
		if told[id].State == operator.Unknown {
			ask(north, id, texts[id])
		}
	}
	exec(south, "list teams;")
	c := south.core.Catalog()
	if !reflect.DeepEqual(c, north.core.Catalog()) {
		return "two hosts differ"
	}
	offsets := map[string][]int64{}
	for _, h := range c.History {
		if !slices.Contains(offsets[h.Actor], h.Offset) {
			offsets[h.Actor] = append(offsets[h.Actor], h.Offset)
		}
	}
	for id, out := range told {
		applied, known := c.Applied[id]
		right := true
		switch out.State {
		case operator.Accepted:
			right = known && applied.Accepted && slices.Equal(offsets[id], []int64{out.Offset})
		default:
			right = (!known || !applied.Accepted) && len(offsets[id]) == 0
		}
		if x := out.Conflict; x != nil && x.Offset >= 0 && x.Winner == "" {
			right = false
		}
		if !right {
			return fmt.Sprintf("%s was told %+v, the log says %+v", id, out, applied)
		}
	}
	return ""
}
