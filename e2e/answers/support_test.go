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

// stalledPeriod is how long no engine makes a token once all slow callers'
// answers are held back.
const stalledPeriod = 300 * time.Millisecond

// slowReadBuffer is the receive buffer of a slow caller, in bytes.
const slowReadBuffer = 128 << 10

// awaitUpstreams waits until every router may use so many upstreams.
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

// slowCaller is a caller that reads the begin of a stream and then pauses.
type slowCaller struct {
	req  standin.CompletionRequest
	resp *http.Response
	read []byte
}

func openSlow(ctx context.Context, f *harness.Fleet, router int, completion standin.CompletionRequest) *slowCaller {
	GinkgoHelper()
	body, err := json.Marshal(completion)
	Expect(err).NotTo(HaveOccurred())
	url := f.Routers[router].URL() + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+harness.TeamKey(f.Inventory.Teams[0].ID))
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialSmall}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { resp.Body.Close() })
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	s := &slowCaller{req: completion, resp: resp, read: make([]byte, 1<<10)}
	_, err = io.ReadFull(resp.Body, s.read)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// dialSmall connects with little room for bytes that were not read.
func dialSmall(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
}

// finish reads the rest: the answer is whole or visibly broken off.
func (s *slowCaller) finish() {
	GinkgoHelper()
	rest, err := io.ReadAll(s.resp.Body)
	answer := harness.Response{Status: http.StatusOK, Body: append(s.read, rest...)}
	Expect(err).NotTo(HaveOccurred())
	Expect(harness.VerifyCompletion(s.req, answer)).To(Succeed())
	Expect(s.resp.Trailer.Get(harness.HeaderOutcome)).To(Equal(harness.OutcomeComplete))
}

// awaitStalled waits until no engine makes tokens any more.
func awaitStalled(ctx context.Context, f *harness.Fleet) {
	GinkgoHelper()
	last, since := uint64(0), time.Now()
	Eventually(func(g Gomega) {
		now := totals(ctx, f)
		if now.Tokens != last {
			last, since = now.Tokens, time.Now()
		}
		g.Expect(time.Since(since)).To(BeNumerically(">=", stalledPeriod))
	}, specTimeout).Should(Succeed())
}

// memoryOf returns the resident memory in bytes of the product's processes.
func memoryOf(f *harness.Fleet) map[string]int {
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
	Fail("no VmRSS")
	return 0
}
