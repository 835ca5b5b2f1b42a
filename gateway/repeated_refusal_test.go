package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// unmarkedRefusal says that a request did not run and bears no id.
const unmarkedRefusal = "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"

// repeatingServers are two upstreams that refuse every third request without an id, and repeat
// some answers before the next one on the connection.
type repeatingServers struct {
	mu   sync.Mutex
	seen int
	late map[net.Conn]string
	// runs counts the runs of each request at both upstreams.
	runs map[string]int
}

func (s *repeatingServers) handle(_ *server, c net.Conn, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.seen++
	late, answer := s.late[c], unmarkedRefusal
	if s.seen%3 != 0 {
		s.runs[id]++
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned-By: seal\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
	s.late[c] = ""
	if answer == unmarkedRefusal || s.seen%7 == 0 {
		s.late[c] = answer
	}
	s.mu.Unlock()
	_, _ = io.WriteString(c, late+answer)
}

// TestRepeatedRefusalsDoNotMeetOtherRequests guards against a late copy of a refusal that is
// taken for the answer to the next request: that ran twice, or its caller was told that it did
// not run.
func TestRepeatedRefusalsDoNotMeetOtherRequests(t *testing.T) {
	g := NewWithT(t)
	servers := &repeatingServers{late: map[net.Conn]string{}, runs: map[string]int{}}
	n := startGatewayWith(t, startServer(t, "p1", "plain", servers.handle), startServer(t, "p2", "plain", servers.handle))
	const requests = 120
	statuses := map[string]int{}
	for i := range requests {
		id := fmt.Sprint("order-", i)
		resp, body, err := send(n, http.MethodPost, "/unsafe/", "order", "Request-Id", id)
		g.Expect(err).NotTo(HaveOccurred())
		statuses[id] = resp.StatusCode
		if resp.StatusCode == http.StatusOK {
			g.Expect(body).To(Equal(id))
		}
	}
	servers.mu.Lock()
	defer servers.mu.Unlock()
	var twice, refused []string
	for id, status := range statuses {
		if servers.runs[id] > 1 {
			twice = append(twice, id)
		}
		if servers.runs[id] > 0 && status == http.StatusServiceUnavailable {
			refused = append(refused, id)
		}
	}
	g.Expect(twice).To(BeEmpty(), "ran twice: "+strings.Join(twice, " "))
	g.Expect(refused).To(BeEmpty(), "refused though they ran: "+strings.Join(refused, " "))
}
