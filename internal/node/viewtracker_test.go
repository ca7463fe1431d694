package node

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// TestUnreachableServiceIsLoggedOnce checks that the loss and the return of a service
// are logged once each, however many calls fail or succeed, and that a service has no
// view age.
func TestUnreachableServiceIsLoggedOnce(t *testing.T) {
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
