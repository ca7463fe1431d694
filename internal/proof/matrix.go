package proof

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"

	"github.com/mimosaspool/mimosaspool/internal/checker"
)

// cells lists the combinations of faults: each alone, each twice, each pair.
func cells() [][]Fault {
	var list [][]Fault
	for _, f := range Faults {
		list = append(list, []Fault{f})
	}
	for i, f := range Faults {
		for _, g := range Faults[i:] {
			list = append(list, []Fault{f, g})
		}
	}
	return list
}

// Cell is what came of all histories with one combination of faults.
type Cell struct {
	Faults    []Fault
	Histories int
	// Seeds holds the seeds of the histories that broke each promise.
	Seeds map[checker.Promise][]uint64
	first map[checker.Promise]checker.Breach
}

// Matrix plays the given number of histories, at least one for each cell,
// spread over the processors.
func Matrix(histories int) []*Cell {
	var list []*Cell
	for _, f := range cells() {
		list = append(list, &Cell{Faults: f, Seeds: map[checker.Promise][]uint64{}, first: map[checker.Promise]checker.Breach{}})
	}
	histories = max(histories, len(list))
	found := make([][]checker.Breach, histories)
	var wg sync.WaitGroup
	work := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range work {
				found[i] = Run(Case{Seed: uint64(i), Faults: list[i%len(list)].Faults})
			}
		})
	}
	for i := range histories {
		work <- i
	}
	close(work)
	wg.Wait()
	for i, breaches := range found {
		list[i%len(list)].add(uint64(i), breaches)
	}
	return list
}

func (c *Cell) add(seed uint64, breaches []checker.Breach) {
	c.Histories++
	for _, b := range breaches {
		seeds := c.Seeds[b.Promise]
		if len(seeds) == 0 {
			c.first[b.Promise] = b
		}
		if len(seeds) == 0 || seeds[len(seeds)-1] != seed {
			c.Seeds[b.Promise] = append(seeds, seed)
		}
	}
}

// Report prints each promise under each combination of faults, and the
// verdict on the last line. It returns the number of breaches.
func Report(out io.Writer, matrix []*Cell) int {
	held, cases, breaches := 0, 0, 0
	for _, p := range checker.Promises {
		broken := 0
		for _, c := range matrix {
			cases += c.Histories
			broken += c.print(out, p)
		}
		if broken == 0 {
			held++
		}
		breaches += broken
	}
	fmt.Fprintf(out, "proof: %d of %d promises, %d cases, %d breaches, 0 not run\n", held, len(checker.Promises), cases, breaches)
	return breaches
}

// print writes one line and returns the number of histories that broke p.
func (c *Cell) print(out io.Writer, p checker.Promise) int {
	var names []string
	for _, f := range c.Faults {
		names = append(names, string(f))
	}
	seeds := c.Seeds[p]
	verdict := "held"
	if len(seeds) > 0 {
		verdict = fmt.Sprintf("breached by seeds %v, first: %s", seeds[:min(len(seeds), 5)], c.first[p])
	}
	fmt.Fprintf(out, "%d %-14s %-58s %4d histories %s\n", int(p), p, strings.Join(names, " + "), c.Histories, verdict)
	return len(seeds)
}
