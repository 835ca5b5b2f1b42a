package answers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/operator"
)

// stallPeriod is how long the token count must stay constant for the engines
// to count as stalled by flow control.
const stallPeriod = 300 * time.Millisecond

// slowReadBufferBytes is the size of the TCP receive buffer of a slow caller.
const slowReadBufferBytes = 128 << 10

// awaitUpstreams waits until every router lists count accepting upstreams.
func awaitUpstreams(ctx context.Context, f *harness.Fleet, count int) {
	GinkgoHelper()
	for _, r := range f.Routers {
		admin := operator.NewClient(r.AdminURL(), harness.AdminToken)
		Eventually(func(g Gomega) {
			data, err := admin.Get(ctx, "/v1/upstreams")
			g.Expect(err).NotTo(HaveOccurred())
			var upstreams []operator.Upstream
			g.Expect(json.Unmarshal(data, &upstreams)).To(Succeed())
			accepting := 0
			for _, u := range upstreams {
				if u.Accepting {
					accepting++
				}
			}
			g.Expect(accepting).To(Equal(count))
		}, specTimeout).Should(Succeed())
	}
}

// slowCaller is a caller that reads the start of a stream and then stops reading.
type slowCaller struct {
	req  standin.CompletionRequest
	resp *http.Response
	read []byte
}

func openSlowStream(ctx context.Context, f *harness.Fleet, router int, completion standin.CompletionRequest) *slowCaller {
	GinkgoHelper()
	body, err := json.Marshal(completion)
	Expect(err).NotTo(HaveOccurred())
	url := f.Routers[router].URL() + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+harness.TeamKey(f.Inventory.Teams[0].ID))
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialWithSmallBuffer}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { resp.Body.Close() })
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	s := &slowCaller{req: completion, resp: resp, read: make([]byte, 1<<10)}
	_, err = io.ReadFull(resp.Body, s.read)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// dialWithSmallBuffer connects with a small receive buffer, so that data that is not read
// soon blocks the sender.
func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(slowReadBufferBytes)
}

// expectComplete reads the rest of the stream and checks that the response is
// complete.
func (s *slowCaller) expectComplete() {
	GinkgoHelper()
	rest, err := io.ReadAll(s.resp.Body)
	answer := harness.Response{Status: http.StatusOK, Body: append(s.read, rest...)}
	Expect(err).NotTo(HaveOccurred())
	Expect(harness.VerifyCompletion(s.req, answer)).To(Succeed())
	Expect(s.resp.Trailer.Get(harness.HeaderOutcome)).To(Equal(harness.OutcomeComplete))
}

// awaitEnginesStalled waits until no engine generates tokens any more.
func awaitEnginesStalled(ctx context.Context, f *harness.Fleet) {
	GinkgoHelper()
	last, since := uint64(0), time.Now()
	Eventually(func(g Gomega) {
		now := sumCounters(ctx, f)
		if now.Tokens != last {
			last, since = now.Tokens, time.Now()
		}
		g.Expect(time.Since(since)).To(BeNumerically(">=", stallPeriod))
	}, specTimeout).Should(Succeed())
}

// residentMemory returns the resident memory of each router and sidecar in bytes, by
// process name.
func residentMemory(f *harness.Fleet) map[string]int {
	GinkgoHelper()
	out := map[string]int{}
	for _, r := range f.Routers {
		out[r.Process().Name()] = residentBytes(r.Process().PID())
	}
	for _, u := range f.Upstreams {
		out[u.Sidecar().Name()] = residentBytes(u.Sidecar().PID())
	}
	return out
}

func residentBytes(pid int) int {
	GinkgoHelper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
		Expect(err).NotTo(HaveOccurred())
		return kilobytes << 10
	}
	Fail("VmRSS is missing in /proc/PID/status")
	return 0
}
