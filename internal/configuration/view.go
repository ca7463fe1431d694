package configuration

import (
	"maps"
	"slices"
)

// Snapshot is a catalog as a record carries it.
type Snapshot struct {
	Catalog *Catalog `json:"catalog"`
}

// Numbered is an undecoded record with its place in the log.
type Numbered struct {
	Offset int64
	// TimeMillis is the time of the append by the log's clock.
	TimeMillis int64
	Data       []byte
}

// View follows the log. It is complete once its catalog holds everything
// before Next: from the log's first record on, or from a snapshot. Records that
// arrive before that are kept aside. A View never goes back to an earlier
// state. It isn't safe for concurrent use.
type View struct {
	Catalog *Catalog
	// Malformed counts the records that could not be decoded.
	Malformed int
	// Snapshots counts the snapshots passed in the log.
	Snapshots int
	complete  bool
	// waiting holds consecutive records read before a usable snapshot.
	waiting []Numbered
	// skipGaps is set by tests to see what becomes of records that a reader missed.
	skipGaps bool
}

// NewView returns a view that knows nothing.
func NewView() *View { return &View{Catalog: NewCatalog()} }

// Complete reports whether the catalog holds everything before Next.
func (v *View) Complete() bool { return v.complete }

// Next returns the offset of the next record that the view needs.
func (v *View) Next() int64 {
	if n := len(v.waiting); n > 0 {
		return v.waiting[n-1].Offset + 1
	}
	return v.Catalog.Next
}

// Feed takes records in offset order as a reader got them, and the offset of
// the oldest record that the log still had, or -1 where that isn't known.
// Records already known, and those after a gap that can still be filled, are ignored.
// It returns the outcome of each record that it applied.
func (v *View) Feed(first int64, records []Numbered) []Outcome {
	if first == 0 && v.Catalog.Next == 0 {
		v.complete = true
	}
	var outs []Outcome
	for _, n := range records {
		outs = append(outs, v.feedOne(first, n)...)
	}
	return outs
}

func (v *View) feedOne(first int64, n Numbered) []Outcome {
	next := v.Next()
	if n.Offset < next || n.Offset > next && first <= next && !v.skipGaps {
		return nil
	}
	if n.Offset > next && !v.skipGaps {
		// The log no longer has the records between.
		v.complete = false
		v.waiting = nil
	}
	if n.Offset == 0 {
		// Nothing came before, whoever passed the record on.
		v.complete = true
	}
	if v.complete {
		return v.apply(n)
	}
	v.waiting = append(v.waiting, n)
	return v.fromSnapshot(n)
}

func (v *View) apply(n Numbered) []Outcome {
	r, err := Decode(n.Data)
	if err != nil {
		v.Malformed++
		v.Catalog.Skip(n.Offset)
		return nil
	}
	if r.Snapshot != nil {
		v.Snapshots++
	}
	return []Outcome{v.Catalog.Apply(n.Offset, r)}
}

// Adopt takes the state of a complete view elsewhere, unless this one is
// complete or knows more. It reports whether it did.
func (v *View) Adopt(state *Catalog) bool {
	if v.complete || state == nil || state.Next <= v.Catalog.Next {
		return false
	}
	state.init()
	v.Catalog, v.complete, v.waiting = state, true, nil
	return true
}

// fromSnapshot completes the view when n carries a snapshot that the waiting
// records reach back to.
func (v *View) fromSnapshot(n Numbered) []Outcome {
	r, err := Decode(n.Data)
	if err != nil || r.Snapshot == nil || r.Snapshot.Catalog == nil {
		return nil
	}
	state := r.Snapshot.Catalog
	if state.Next < v.Catalog.Next || state.Next < v.waiting[0].Offset {
		return nil
	}
	state.init()
	records := v.waiting
	v.Catalog, v.complete, v.waiting = state, true, nil
	var outs []Outcome
	for _, w := range records {
		if w.Offset >= state.Next {
			outs = append(outs, v.apply(w)...)
		}
	}
	return outs
}

// Freeze returns a copy that later records applied to c don't change. It shares
// what is replaced whole, and costs little.
func (c *Catalog) Freeze() *Catalog {
	f := *c
	f.Domains, f.Teams = maps.Clone(c.Domains), maps.Clone(c.Teams)
	f.Workloads, f.Drained = maps.Clone(c.Workloads), maps.Clone(c.Drained)
	f.Applied = maps.Clone(c.Applied)
	f.Recent, f.History = slices.Clone(c.Recent), slices.Clone(c.History)
	f.Finished = slices.Clone(c.Finished)
	f.Ended = make(map[string]map[string]Ended, len(c.Ended))
	for name, ended := range c.Ended {
		f.Ended[name] = maps.Clone(ended)
	}
	return &f
}
