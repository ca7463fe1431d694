package ownership_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
)

// TestCompatibleLists: of two compatible lists of seats, one scheduler can't
// own a majority of the one while another owns a quorum of the other.
func TestCompatibleLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := func(label string) []string {
			from := rapid.IntRange(0, 10).Draw(t, label+" from")
			var seats []string
			for i := range rapid.IntRange(1, 20).Draw(t, label+" size") {
				seats = append(seats, fmt.Sprint(from+i))
			}
			return seats
		}
		a, b := list("a"), list("b")
		if !ownership.Compatible(a, b) {
			return
		}
		shared := 0
		for _, x := range a {
			for _, y := range b {
				if x == y {
					shared++
				}
			}
		}
		// The holder of a majority of a takes seats outside b first.
		left := shared - max(0, ownership.Majority(len(a))-(len(a)-shared))
		if left+len(b)-shared >= ownership.Quorum(len(b)) {
			t.Fatalf("%v and %v allow two terms", a, b)
		}
	})
}

// TestOneSeatAtATime: any list may grow or shrink by one seat.
func TestOneSeatAtATime(t *testing.T) {
	var seats []string
	for n := range 200 {
		more := append(seats, fmt.Sprint(n))
		if n > 0 && !ownership.Compatible(seats, more) {
			t.Errorf("%d seats can't become %d", n, n+1)
		}
		seats = more
	}
}
