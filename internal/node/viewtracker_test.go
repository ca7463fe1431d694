package node

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// TestLostServicesAreLogged checks that a service is told as lost and regained
// once each, and has no age.
func TestLostServicesAreLogged(t *testing.T) {
	g := NewWithT(t)
	log, hook := logtest.NewNullLogger()
	v := newViewTracker(log)
	lost := errors.New("no answer")
	for _, err := range []error{nil, lost, lost, nil, nil} {
		v.recordCall(serviceAdvice, err)
	}
	g.Expect(hook.Entries).To(HaveLen(2))
	for i, kind := range []string{"dependency-lost", "dependency-regained"} {
		g.Expect(hook.Entries[i].Data).To(HaveKeyWithValue("kind", kind))
		g.Expect(hook.Entries[i].Data).To(HaveKeyWithValue("view", serviceAdvice))
	}
	g.Expect(v.ages()).To(BeEmpty())
}
