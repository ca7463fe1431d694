package noded

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestNodesWithLittleProcessorTimeClaimAfterTheOthers(t *testing.T) {
	g := NewWithT(t)
	const apart = 300 * time.Millisecond // the nodes' starts
	latest, earliest := time.Duration(0), time.Hour
	for i := range 100 {
		name := fmt.Sprint("node", i)
		latest = max(latest, claimDelay(name, 0.4))
		earliest = min(earliest, claimDelay(name, 0.2))
	}
	g.Expect(latest).To(BeNumerically("<", claimSpread))
	g.Expect(earliest).To(BeNumerically(">=", latest+apart))
}
