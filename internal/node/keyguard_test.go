package node

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// keyGuardFixture is a key guard on a clock that the test sets.
type keyGuardFixture struct {
	Gomega
	*keyGuard
	now     time.Duration
	catalog workflow.Catalog
}

func newKeyGuardFixture(t *testing.T, limits Limits) *keyGuardFixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &keyGuardFixture{Gomega: NewWithT(t), now: time.Hour}
	f.keyGuard = newKeyGuard(func() time.Duration { return f.now }, log)
	f.configure(&limits)
	f.catalog.Accounts = map[string]workflow.Account{"a": {Name: "a"}}
	f.catalog.Keys.Add("key-a", "a")
	return f
}

// read applies a read of the configuration that was sent at the given time.
func (f *keyGuardFixture) read(sent time.Duration) {
	at := time.Now()
	f.configurationRead(readResult{sentClock: sent, sentAt: at, readAt: at.Add(10 * time.Millisecond)})
}

func (f *keyGuardFixture) code(key string, public bool) intake.Code {
	_, refused := f.authenticate(&f.catalog, &workflow.Queue{Public: public}, key)
	if refused == nil {
		return intake.OK
	}
	return refused.Code
}

// A key must not be accepted on a host that has not read the configuration for so long
// that the key may have been revoked, however the host lost that time.
func TestKeysExpireWithTheConfiguration(t *testing.T) {
	const bound = 5 * time.Second
	f := newKeyGuardFixture(t, Limits{RevocationBound: bound})
	f.Expect(f.code("key-a", false)).To(Equal(intake.Unavailable), "nothing has been read")
	f.read(f.now)
	f.Expect(f.code("key-a", false)).To(Equal(intake.OK))
	f.Expect(f.code("key-b", false)).To(Equal(intake.Unauthenticated))
	f.now += 3 * time.Second
	f.Expect(f.code("key-a", false)).To(Equal(intake.OK))
	f.now += time.Millisecond
	f.Expect(f.code("key-a", false)).To(Equal(intake.Unavailable))
	f.Expect(f.code("key-b", false)).To(Equal(intake.Unavailable), "it may be a new key")
	f.Expect(f.code("key-b", true)).To(Equal(intake.OK), "a public queue needs no key")
	f.Expect(f.code("key-a", true)).To(Equal(intake.Unavailable), "its account's jobs may no longer be open to it")

	// An answer that arrives while the process stands still shows the store as it was
	// before that.
	sent := f.now
	f.now += 10 * time.Second
	f.read(sent)
	f.Expect(f.code("key-a", false)).To(Equal(intake.Unavailable))
	// A peer's answer may be from its memory.
	at := time.Now()
	f.configurationRead(readResult{sentClock: f.now, sentAt: at, readAt: at.Add(-4 * time.Second)})
	f.Expect(f.code("key-a", false)).To(Equal(intake.Unavailable))
	f.read(f.now)
	f.Expect(f.code("key-a", false)).To(Equal(intake.OK))
}

// Deployments without accounts are served without keys, and a deployment with accounts is
// not opened to everybody by a configuration that lacks them.
func TestAccountsAreInUseByConfigurationOrSettings(t *testing.T) {
	f := newKeyGuardFixture(t, Limits{})
	f.now += time.Hour
	f.Expect(f.code("key-a", false)).To(Equal(intake.OK), "without a bound keys don't expire")
	f.catalog = workflow.Catalog{}
	f.Expect(f.code("", false)).To(Equal(intake.OK))
	f = newKeyGuardFixture(t, Limits{AccountsInUse: true})
	f.catalog = workflow.Catalog{}
	f.Expect(f.code("", false)).To(Equal(intake.Unauthenticated))
	f.Expect(f.code("", true)).To(Equal(intake.OK))
}

// A key must not give access to the jobs of another account.
func TestCallersReachTheirOwnJobs(t *testing.T) {
	g := NewWithT(t)
	owner, other, keyless, operator := intake.Caller{Account: "a"}, intake.Caller{Account: "b"}, intake.Caller{}, intake.Caller{Unrestricted: true}
	g.Expect(owner.MayAccess("a")).To(BeTrue())
	g.Expect(other.MayAccess("a")).To(BeFalse())
	g.Expect(keyless.MayAccess("a")).To(BeFalse())
	g.Expect(operator.MayAccess("a")).To(BeTrue())
	g.Expect(other.MayAccess("")).To(BeTrue())
}
