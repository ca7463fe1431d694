package noded

import (
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/mimosaspool/mimosaspool/internal/node"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// TestDeployedMetricsPort checks that the deploy file names the port and the
// path that the node is started with.
func TestDeployedMetricsPort(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../deploy/system.toml")
	g.Expect(err).NotTo(HaveOccurred())
	flag := regexp.MustCompile(`(?m)^run = ".* --metrics-port (\d+)( .*)?"$`).FindStringSubmatch(string(data))
	named := regexp.MustCompile(`(?m)^metrics = "(\d+)/metrics"$`).FindStringSubmatch(string(data))
	g.Expect(flag).NotTo(BeNil())
	g.Expect(named).NotTo(BeNil())
	g.Expect(named[1]).To(Equal(flag[1]))
}

// TestMetricsPort serves metrics on the further port, and goes on without it
// where the port is taken.
func TestMetricsPort(t *testing.T) {
	g := NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	log, hook := logtest.NewNullLogger()
	tel, err := telemetry.New("test")
	g.Expect(err).NotTo(HaveOccurred())
	d := &daemon{log: log, telemetry: tel, metrics: taken.Addr().String(),
		platform: &Platform{Settings: node.Settings{Limits: node.Limits{MemoryMiB: 64}}}, clients: clientOptions{BodyStall: time.Second, BodyTimeout: time.Second}}
	g.Expect(d.serveMetrics(t.Context())).To(BeNil())
	g.Expect(hook.LastEntry().Message).To(Equal("metrics are served between nodes only"))
	g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("address", d.metrics))

	g.Expect(taken.Close()).To(Succeed())
	s := d.serveMetrics(t.Context())
	g.Expect(s).NotTo(BeNil())
	tel.Count("refusal", "no-queue", 1)
	res, err := http.Get("http://" + d.metrics + "/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(res.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Body.Close()).To(Succeed())
	g.Expect(string(body)).To(ContainSubstring(`mimosaspool_reasons_total{kind="refusal",reason="no-queue"} 1`))
	g.Expect(s.Close()).To(Succeed())
	g.Expect(hook.Entries).To(HaveLen(1))
}
