package node

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// A host that has not read the configuration for long must not accept the keys of the old
// one again while it puts the new one in force: they may have been revoked long ago.
func TestKeysOfOldConfigurationStayRefusedWhileNewOneIsDecoded(t *testing.T) {
	f := newKeyGuardFixture(t, Limits{RevocationBound: 5 * time.Second})
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{table: newJobTable(), desk: &jobAPI{keys: f.keyGuard}, log: log}
	n.desk.catalog.Store(&f.catalog)
	f.read(f.now)
	f.now += time.Minute
	n.deps.Feeds.DecodeCatalog = func(store.Record) (*workflow.Catalog, error) {
		f.Expect(f.code("key-a", false)).To(Equal(intake.Unavailable))
		return &workflow.Catalog{Version: 1, Accounts: f.catalog.Accounts}, nil
	}
	at := time.Now()
	n.handleOperatorsRead(readResult{records: []store.StoredRecord{{}}, sentClock: f.now, sentAt: at, readAt: at}, nil)
	_, refused := f.authenticate(n.desk.catalog.Load(), &workflow.Queue{}, "key-a")
	f.Expect(refused.Code).To(Equal(intake.Unauthenticated))
}
