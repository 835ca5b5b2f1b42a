package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// refusalRounds is the number of times that a spec lets upstreams refuse requests.
const refusalRounds = 5

// refusalWithoutID is the answer to a request that was not run. It does not say which.
const refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n"

// repeatedRefusal refuses requests while refuse is set. Once a connection was used for a
// refusal, it repeats that in front of the answer to the next request there.
func (s *scriptedSite) repeatedRefusal(refuse *atomic.Bool) serveConn {
	return func(c net.Conn, next func() (*http.Request, error)) error {
		refused := false
		for {
			r, err := next()
			if err != nil {
				return err
			}
			if refuse.Load() {
				refused = true
				if _, err := io.WriteString(c, refusalWithoutID); err != nil {
					return err
				}
				continue
			}
			s.recordRun(r)
			if refused {
				refused = false
				if _, err := io.WriteString(c, refusalWithoutID); err != nil {
					return err
				}
			}
			id := r.Header.Get("Attempt-Id")
			if err := writeResponse(c, r, fmt.Sprint("Content-Length: ", len(id)), id); err != nil {
				return err
			}
		}
	}
}

// expectTrueAnswer checks that a request ran once at most, not at all if it was refused, and
// that a success is the answer of its own run.
func (s *scriptedSite) expectTrueAnswer(answer scriptedAnswer) {
	GinkgoHelper()
	runs := len(s.runsOf(answer.id))
	Expect(runs).To(BeNumerically("<=", 1), "TWICE: %+v", answer)
	switch answer.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		Expect(runs).To(BeZero(), "REFUSED: %+v", answer)
	case http.StatusOK:
		Expect(answer.body).To(Equal(answer.id), "MIXED: %+v", answer)
	}
}

// Guards against a gateway that takes an earlier 503 response with Not-Run and without
// Attempt-Id for the answer to the next request of the connection: a request that ran is called
// not run (REFUSED), or runs again on another upstream (TWICE).
var _ = DescribeTable("a 503 response with Not-Run and without Attempt-Id that is repeated on a kept connection",
	func(upstreams int) {
		var refuse atomic.Bool
		s := newScriptedSite()
		s.awaitRetries()
		s.replaceUpstreams(slices.Repeat([]serveConn{s.repeatedRefusal(&refuse)}, upstreams)...)
		var answers []scriptedAnswer
		post := func() scriptedAnswer {
			answer := s.post(unsafePath)
			answers = append(answers, answer)
			s.expectTrueAnswer(answer)
			return answer
		}
		for range refusalRounds {
			refuse.Store(true)
			post()
			refuse.Store(false)
			Eventually(func() []scriptedRun { return s.runsOf(post().id) }, specTimeout).ShouldNot(BeEmpty(), "a request that runs")
		}
		for _, answer := range answers {
			s.expectTrueAnswer(answer)
		}
	},
	Entry("does not make a request that ran be called not run", 1),
	Entry("does not make a request run on another upstream as well", 2),
)
