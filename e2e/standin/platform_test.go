package standin_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// start serves a stand-in and its control port until the spec ends.
func start(standIn standin.StandIn) (url, control string) {
	server := httptest.NewServer(standIn.Handler())
	DeferCleanup(server.Close)
	controlServer := httptest.NewServer(standIn.ControlHandler())
	DeferCleanup(controlServer.Close)
	return server.URL, controlServer.URL
}

// call sends one request; header holds pairs of names and values.
func call(method, url, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

func mustCall(method, url, body string, header ...string) *http.Response {
	resp, err := call(method, url, body, header...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	return resp
}

func decode[T any](resp *http.Response) T {
	var value T
	Expect(json.NewDecoder(resp.Body).Decode(&value)).To(Succeed())
	return value
}

var _ = Describe("the platform", func() {
	var url, control string

	BeforeEach(func() {
		url, control = start(standin.NewPlatform())
	})

	It("lets one of two racing writers win", func() {
		created := mustCall("PUT", url+"/v1/objects/a/b", "1", "If-None-Match", "*")
		Expect(created.StatusCode).To(Equal(200))
		version := created.Header.Get("ETag")
		Expect(mustCall("PUT", url+"/v1/objects/a/b", "2", "If-None-Match", "*").StatusCode).To(Equal(412))
		Expect(mustCall("PUT", url+"/v1/objects/a/b", "2", "If-Match", version).StatusCode).To(Equal(200))
		Expect(mustCall("PUT", url+"/v1/objects/a/b", "3", "If-Match", version).StatusCode).To(Equal(412))
		Expect(mustCall("GET", url+"/v1/objects/a/b", "")).To(HaveHTTPBody("2"))
		Expect(mustCall("DELETE", url+"/v1/objects/a/b", "", "If-Match", version).StatusCode).To(Equal(412))
		Expect(mustCall("DELETE", url+"/v1/objects/a/b", "", "If-Match", `"2"`).StatusCode).To(Equal(204))
		Expect(mustCall("GET", url+"/v1/objects/a/b", "").StatusCode).To(Equal(404))
		Expect(mustCall("PUT", url+"/v1/objects/a/b", "4", "If-None-Match", "*").StatusCode).To(Equal(200))
		large := strings.Repeat("x", standin.MaxObjectBytes+1)
		Expect(mustCall("PUT", url+"/v1/objects/a/b", large, "If-Match", `"4"`).StatusCode).To(Equal(413))
	})

	It("applies a write whose answer it loses, for the named keys only", func() {
		mustCall("POST", control+"/control", `{"lose_answers":1,"lose_answers_prefix":"claims/"}`)
		Expect(mustCall("PUT", url+"/v1/objects/config/head", "a", "If-None-Match", "*").StatusCode).To(Equal(200))
		_, err := call("PUT", url+"/v1/objects/claims/1", "b", "If-None-Match", "*")
		Expect(err).To(HaveOccurred())
		Expect(mustCall("GET", url+"/v1/objects/claims/1", "")).To(HaveHTTPBody("b"))
		Expect(mustCall("PUT", url+"/v1/objects/claims/2", "c", "If-None-Match", "*").StatusCode).To(Equal(200))
		counters := decode[standin.Control[standin.PlatformSwitches, standin.PlatformCounters]](
			mustCall("GET", control+"/control", "")).Counters
		Expect(counters.Put).To(BeEquivalentTo(3))
		Expect(counters.Lost).To(BeEquivalentTo(1))
	})

	It("ends a watch at a change, with deletions, and lists live objects only", func() {
		answers := make(chan standin.Listing, 1)
		go func() {
			defer GinkgoRecover()
			answers <- decode[standin.Listing](mustCall("GET", url+"/v1/watch?prefix=a/&since=0&timeout_ms=10000", ""))
		}()
		mustCall("PUT", url+"/v1/objects/b/1", "x", "If-None-Match", "*")
		mustCall("PUT", url+"/v1/objects/a/1", "x", "If-None-Match", "*")
		var listing standin.Listing
		Eventually(answers, 5*time.Second).Should(Receive(&listing))
		Expect(listing.Version).To(BeEquivalentTo(2))
		Expect(listing.Entries).To(HaveLen(1))
		mustCall("DELETE", url+"/v1/objects/a/1", "", "If-Match", `"2"`)
		listing = decode[standin.Listing](mustCall("GET", url+"/v1/watch?prefix=a/&since=2&timeout_ms=10000", ""))
		Expect(listing.Entries).To(HaveLen(1))
		Expect(listing.Entries[0].Deleted).To(BeTrue())
		listing = decode[standin.Listing](mustCall("GET", url+"/v1/objects?prefix=a/", ""))
		Expect(listing.Entries).To(BeEmpty())
		Expect(listing.Version).To(BeEquivalentTo(3))
	})

	It("ends waiting watches by an outage", func() {
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			statuses <- mustCall("GET", url+"/v1/watch?prefix=&since=0&timeout_ms=30000", "").StatusCode
		}()
		mustCall("POST", control+"/control", `{"outage":true}`)
		Eventually(statuses, 5*time.Second).Should(Receive(Equal(503)))
		Expect(mustCall("GET", url+"/v1/vms", "").StatusCode).To(Equal(503))
	})

	It("limits writes apart from reads", func() {
		mustCall("POST", control+"/control", `{"writes_per_second":0.001}`)
		Expect(mustCall("PUT", url+"/v1/objects/a", "x", "If-None-Match", "*").StatusCode).To(Equal(200))
		Expect(mustCall("PUT", url+"/v1/objects/a", "x", "If-Match", `"1"`).StatusCode).To(Equal(429))
		Expect(mustCall("GET", url+"/v1/objects/a", "").StatusCode).To(Equal(200))
	})

	It("shows the VM list with its lag", func() {
		mustCall("POST", control+"/vms", `{"vms":[{"id":"v1","incarnation":1,"address":"127.0.0.1","state":"live"}]}`)
		mustCall("POST", control+"/control", `{"vm_lag_ms":3600000}`)
		Expect(decode[standin.VMListing](mustCall("GET", url+"/v1/vms", "")).VMs).To(BeEmpty())
		mustCall("POST", control+"/control", `{"vm_lag_ms":0}`)
		Expect(decode[standin.VMListing](mustCall("GET", url+"/v1/vms", "")).VMs).To(HaveLen(1))
	})

	It("refuses an unknown switch", func() {
		Expect(mustCall("POST", control+"/control", `{"no_such_switch":1}`).StatusCode).To(Equal(400))
	})
})
