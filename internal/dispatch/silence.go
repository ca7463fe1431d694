package dispatch

import "time"

// silenceRecord is what the log says of contact with a worker. While contact
// is lost nothing is started there, so a successor that can't reach the worker
// either knows all that may run on it.
type silenceRecord int

const (
	silenceNone silenceRecord = iota
	// silenceTelling: the record that contact is lost is on its way.
	silenceTelling
	silenceTold
	// silenceEnding: the record that there is contact again is on its way.
	silenceEnding
)

// recorded returns the state after the record on its way is in the log.
func (s silenceRecord) recorded() silenceRecord {
	switch s {
	case silenceTelling:
		return silenceTold
	case silenceEnding:
		return silenceNone
	}
	return s
}

// tellSilence records lost and regained contact with workers. Of a worker that
// this holder has not fenced yet it doesn't know what runs there, so it says nothing.
func (c *Core) tellSilence() {
	for _, h := range c.order {
		switch {
		case (h.lost() || c.left(h)) && h.silence == silenceNone && h.engaged && h.fenced:
			h.silence = silenceTelling
			c.decide(Decision{Kind: "contact-lost", Worker: h.info.ID, Age: c.now - h.heardAt})
			c.commits.tell(h)
		case h.silent == 0 && h.listed && h.fenced && h.silence == silenceTold:
			h.silence = silenceEnding
			c.decide(Decision{Kind: "contact-regained", Worker: h.info.ID})
			c.commits.tell(h)
		}
	}
}

// left reports whether the worker has been missing from the platform's list for
// a while. Nothing is started there, and without runs it isn't held either, so
// that its end would not be seen.
func (c *Core) left(h *host) bool { return !h.listed && c.now-h.unlistedAt > leftAfter }

// leftAfter is how long an entry may be missing, as after an outage of the store.
const leftAfter = time.Second

// suspected reports whether the task may run on a worker that can't be fenced.
func (c *Core) suspected(t *task) bool {
	if len(c.suspects) == 0 {
		return false
	}
	name := t.id().String()
	h := c.suspects[name]
	if h == nil {
		return false
	}
	if c.hosts[h.info.ID] == h && h.inherited && !h.fenced {
		return true
	}
	delete(c.suspects, name)
	return false
}
