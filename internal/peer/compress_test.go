package peer

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	api "github.com/mimosaspool/mimosaspool/api/peer"
)

// Records below and above the compression threshold must be unchanged after
// compression and decompression, and large ones must become smaller.
func TestCompressedRecordsRoundTrip(t *testing.T) {
	RegisterTestingT(t)
	for _, size := range []int{0, 10, minCompressBytes, 50_000} {
		want := &api.ReadResponse{Next: 9, End: 9, Records: []*api.LogRecord{{Offset: 8, Key: "j/1", Value: []byte(strings.Repeat("spec ", size/5))}}}
		got := proto.Clone(want).(*api.ReadResponse)
		Expect(compressRecords(got)).To(Succeed())
		if size >= minCompressBytes {
			Expect(got.Records).To(BeEmpty())
			Expect(len(got.Packed)).To(BeNumerically("<", size))
		}
		Expect(decompressRecords(got)).To(Succeed())
		Expect(proto.Equal(got, want)).To(BeTrue())
	}
}

// A response that is cut off in transit must not decode to fewer records.
func TestTruncatedCompressedRecordsAreAnError(t *testing.T) {
	RegisterTestingT(t)
	resp := &api.ReadResponse{Records: []*api.LogRecord{{Key: "j/1", Value: []byte(strings.Repeat("spec ", minCompressBytes))}}}
	Expect(compressRecords(resp)).To(Succeed())
	resp.Packed = resp.Packed[:len(resp.Packed)/2]
	Expect(decompressRecords(resp)).NotTo(Succeed())
}
