package gateway

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Guards against factors that are lost or change on the way between gateways.
func TestEngineFactorsReachOtherGateways(t *testing.T) {
	g := NewWithT(t)
	factors := map[fleet.UpstreamID]admission.EngineFactor{"i-1": {Log: -0.5, Weight: 6.25}, "i-2": {}}
	data, err := proto.Marshal(reportToWire("engines", admission.Report{Full: true, Factors: factors}))
	g.Expect(err).NotTo(HaveOccurred())
	var wire peerpb.ServiceLoad
	g.Expect(proto.Unmarshal(data, &wire)).To(Succeed())
	g.Expect(reportFromWire(&wire).Factors).To(Equal(factors))
	g.Expect(reportFromWire(&peerpb.ServiceLoad{Full: true}).Factors).To(BeNil())
}
