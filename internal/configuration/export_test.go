package configuration

import "encoding/json"

// SkipGaps takes out the rule that records after a gap wait.
func (v *View) SkipGaps() { v.skipGaps = true }

// Repeat takes out the rule that a record has one effect.
func (c *Catalog) Repeat() { c.repeat = true }

// Clone returns a deep copy of c, as a host reads it from a snapshot.
func (c *Catalog) Clone() *Catalog {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // a catalog holds nothing that can't be written
	}
	out := &Catalog{}
	if err := json.Unmarshal(data, out); err != nil {
		panic(err)
	}
	out.init()
	return out
}
