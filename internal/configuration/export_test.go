package configuration

// SkipGaps takes out the rule that records after a gap wait.
func (v *View) SkipGaps() { v.skipGaps = true }

// Repeat takes out the rule that a record has one effect.
func (c *Catalog) Repeat() { c.repeat = true }
