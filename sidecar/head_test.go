package sidecar

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// TestHeadersThatAreNoTextAreSent guards against a response that is lost because a header of
// the upstream is not valid UTF-8, which messages between processes are.
func TestHeadersThatAreNoTextAreSent(t *testing.T) {
	g := NewWithT(t)
	head := responseHead(200, http.Header{"X-Name": {"Jos\xe9", "plain"}})
	_, err := proto.Marshal(head)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(head.GetHeaders()[0].GetValues()).To(Equal([]string{"Jos\uFFFD", "plain"}))
}
