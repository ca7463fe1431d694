package peer

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	api "github.com/mimosaspool/mimosaspool/api/peer"
)

func TestPackedRecordsComeBackWhole(t *testing.T) {
	RegisterTestingT(t)
	for _, size := range []int{0, 10, packFrom, 50_000} {
		want := &api.ReadResponse{Next: 9, End: 9, Records: []*api.LogRecord{{Offset: 8, Key: "j/1", Value: []byte(strings.Repeat("spec ", size/5))}}}
		got := proto.Clone(want).(*api.ReadResponse)
		Expect(pack(got)).To(Succeed())
		if size >= packFrom {
			Expect(got.Records).To(BeEmpty())
			Expect(len(got.Packed)).To(BeNumerically("<", size))
		}
		Expect(unpack(got)).To(Succeed())
		Expect(proto.Equal(got, want)).To(BeTrue())
	}
}

func TestTornPackedRecordsAreAnError(t *testing.T) {
	RegisterTestingT(t)
	resp := &api.ReadResponse{Records: []*api.LogRecord{{Key: "j/1", Value: []byte(strings.Repeat("spec ", packFrom))}}}
	Expect(pack(resp)).To(Succeed())
	resp.Packed = resp.Packed[:len(resp.Packed)/2]
	Expect(unpack(resp)).NotTo(Succeed())
}
