package account

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// A key must lead to its own account only, whatever else is known.
func TestKeyBelongsToOneAccount(t *testing.T) {
	g := NewWithT(t)
	var s KeySet
	_, ok := s.Lookup("k1")
	g.Expect(ok).To(BeFalse())
	g.Expect(s.Add("k1", "a")).To(BeTrue())
	g.Expect(s.Add("k1", "a")).To(BeTrue())
	g.Expect(s.Add("k1", "b")).To(BeFalse(), "another account's key")
	g.Expect(s.Add("", "b")).To(BeFalse())
	g.Expect(s.Add(strings.Repeat("k", MaxKeyBytes+1), "b")).To(BeFalse())
	name, ok := s.Lookup("k1")
	g.Expect(ok).To(BeTrue())
	g.Expect(name).To(Equal("a"))
	for _, unknown := range []string{"", "k", "k1 ", "K1", "k11", strings.Repeat("k", MaxKeyBytes+1)} {
		_, ok := s.Lookup(unknown)
		g.Expect(ok).To(BeFalse(), unknown)
	}
}

// No way of printing a key set may show its keys or their digests.
func TestKeysAreNotShown(t *testing.T) {
	g := NewWithT(t)
	var s KeySet
	s.Add("secret-key", "a")
	d := digestOf("secret-key")
	raw, err := json.Marshal(map[string]any{"keys": s, "pointer": &s})
	g.Expect(err).NotTo(HaveOccurred())
	for _, shown := range []string{string(raw), fmt.Sprint(s), fmt.Sprintf("%v %+v %#v %s", s, &s, s, s)} {
		g.Expect(shown).NotTo(ContainSubstring("secret-key"))
		g.Expect(shown).NotTo(ContainSubstring(fmt.Sprintf("%x", d[:4])))
		g.Expect(shown).NotTo(ContainSubstring(fmt.Sprint(d[:4])[1:]))
	}
}
