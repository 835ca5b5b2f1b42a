package standin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// serveStandIn serves a stand-in and its control port until the spec ends.
func serveStandIn(standIn standin.StandIn) (url, control string) {
	server := httptest.NewServer(standIn.Handler())
	DeferCleanup(server.Close)
	controlServer := httptest.NewServer(standIn.ControlHandler())
	DeferCleanup(controlServer.Close)
	return server.URL, controlServer.URL
}

// call sends one request; header holds alternating names and values.
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

const objectsPath = "/fulmarspindle/objects/"

// objectBody returns the body of a write. Revision zero matches any.
func objectBody(value string, revision uint64) string {
	return fmt.Sprintf(`{"metadata":{"revision":%d},"spec":%q}`, revision, value)
}

var _ = Describe("the platform", func() {
	var url, control string

	BeforeEach(func() {
		url, control = serveStandIn(standin.NewPlatform())
	})

	It("rejects conflicting and oversized writes", func() {
		object := url + objectsPath + "a/b"
		created := mustCall("POST", object, objectBody("1", 0))
		Expect(created.StatusCode).To(Equal(200))
		revision := decode[standin.Object](created).Metadata.Revision
		conflict := mustCall("POST", object, objectBody("2", 0))
		Expect(conflict.StatusCode).To(Equal(409))
		Expect(decode[standin.Object](conflict).Spec).To(MatchJSON(`"1"`))
		Expect(mustCall("PUT", object, objectBody("2", revision)).StatusCode).To(Equal(200))
		Expect(mustCall("PUT", object, objectBody("3", revision)).StatusCode).To(Equal(409))
		Expect(decode[standin.Object](mustCall("GET", object, "")).Spec).To(MatchJSON(`"2"`))
		Expect(mustCall("DELETE", object+"?revision=1", "").StatusCode).To(Equal(409))
		Expect(mustCall("DELETE", object+"?revision=2", "").StatusCode).To(Equal(200))
		Expect(mustCall("GET", object, "").StatusCode).To(Equal(404))
		Expect(mustCall("PUT", object, objectBody("4", 0)).StatusCode).To(Equal(404))
		Expect(mustCall("POST", object, objectBody("4", 0)).StatusCode).To(Equal(200))
		large := strings.Repeat("x", standin.MaxObjectBytes+1)
		Expect(mustCall("PUT", object, objectBody(large, 0)).StatusCode).To(Equal(413))
	})

	It("creates no revision for a write that changes nothing", func() {
		object := url + objectsPath + "a/b"
		mustCall("POST", object, objectBody("1", 0))
		Expect(decode[standin.Object](mustCall("PUT", object, objectBody("1", 0))).Metadata.Revision).To(BeEquivalentTo(1))
	})

	It("applies a write whose response is lost, limited to a prefix", func() {
		mustCall("POST", control+"/control", `{"lose_answers":1,"lose_answers_prefix":"claims/"}`)
		Expect(mustCall("POST", url+objectsPath+"config/head", objectBody("a", 0)).StatusCode).To(Equal(200))
		_, err := call("POST", url+objectsPath+"claims/1", objectBody("b", 0))
		Expect(err).To(HaveOccurred())
		Expect(decode[standin.Object](mustCall("GET", url+objectsPath+"claims/1", "")).Spec).To(MatchJSON(`"b"`))
		Expect(mustCall("POST", url+objectsPath+"claims/2", objectBody("c", 0)).StatusCode).To(Equal(200))
		counters := decode[standin.ControlState[standin.PlatformSwitches, standin.PlatformCounters]](
			mustCall("GET", control+"/control", "")).Counters
		Expect(counters.Put).To(BeEquivalentTo(3))
		Expect(counters.Lost).To(BeEquivalentTo(1))
	})

	It("reports changes and deletions to a watch and lists no deleted objects", func() {
		responses := make(chan standin.Changes, 1)
		go func() {
			defer GinkgoRecover()
			responses <- decode[standin.Changes](mustCall("GET", url+objectsPath+"a?watch=0&waitMs=10000", ""))
		}()
		mustCall("POST", url+objectsPath+"b/1", objectBody("x", 0))
		mustCall("POST", url+objectsPath+"a/1", objectBody("x", 0))
		var changes standin.Changes
		Eventually(responses, 5*time.Second).Should(Receive(&changes))
		Expect(changes.Revision).To(BeEquivalentTo(2))
		Expect(changes.Events).To(HaveLen(1))
		mustCall("DELETE", url+objectsPath+"a/1?revision=2", "")
		changes = decode[standin.Changes](mustCall("GET", url+objectsPath+"a?watch=2&waitMs=10000", ""))
		Expect(changes.Events).To(HaveLen(1))
		Expect(changes.Events[0].Deleted).To(BeTrue())
		page := decode[standin.Page](mustCall("GET", url+objectsPath+"a", ""))
		Expect(page.Items).To(BeEmpty())
		Expect(page.Revision).To(BeEquivalentTo(3))
	})

	// Guards against a store that orders evacuations and registrations by different
	// counters, which gateways compare.
	It("reports the begin and the end of an evacuation", func() {
		evacuation := url + objectsPath + standin.EvacuationsKind + "/z1"
		mustCall("POST", url+objectsPath+standin.ServersKind+"/s-1", objectBody("x", 0))
		began := decode[standin.Object](mustCall("POST", evacuation, `{"spec":{}}`)).Metadata.Revision
		Expect(began).To(BeEquivalentTo(2))
		page := decode[standin.Page](mustCall("GET", url+objectsPath+standin.EvacuationsKind, ""))
		Expect(page.Items).To(HaveLen(1))
		Expect(page.Items[0].Metadata.Name).To(Equal("z1"))
		Expect(mustCall("DELETE", evacuation, "").StatusCode).To(Equal(200))
		changes := decode[standin.Changes](mustCall("GET", url+objectsPath+standin.EvacuationsKind+"?watch=2&waitMs=10000", ""))
		Expect(changes.Revision).To(BeEquivalentTo(3))
		Expect(changes.Events).To(HaveLen(1))
		Expect(changes.Events[0].Deleted).To(BeTrue())
	})

	It("paginates lists", func() {
		for i := range 501 {
			mustCall("POST", url+objectsPath+fmt.Sprintf("a/%03d", i), objectBody("x", 0))
		}
		first := decode[standin.Page](mustCall("GET", url+objectsPath+"a", ""))
		Expect(first.Items).To(HaveLen(500))
		Expect(first.HasMore).To(BeTrue())
		second := decode[standin.Page](mustCall("GET", url+objectsPath+"a?after=499", ""))
		Expect(second.Items).To(HaveLen(1))
		Expect(second.HasMore).To(BeFalse())
	})

	// Guards against odd objects that the store changes, or that make it fail.
	It("serves the specs and revisions of another writer as they were written", func() {
		odd := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
		resp := mustCall(http.MethodPut, control+"/objects/servers/odd?revision=1e400", odd)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		want := `{"metadata":{"name":"odd","revision":1e400,"finalizers":[],"deleting":false},"spec":` + odd + `,"status":null}`
		for path, before := range map[string]string{
			"servers/odd": "", "servers": `{"items":[`, "servers?watch=0&waitMs=0": `{"events":[{"object":`,
		} {
			body, err := io.ReadAll(mustCall(http.MethodGet, url+objectsPath+path, "").Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.HasPrefix(string(body), before+want)).To(BeTrue(), path)
		}
		mustCall(http.MethodPut, url+objectsPath+"servers/odd", objectBody("sound", 0))
		Expect(decode[standin.Page](mustCall(http.MethodGet, url+objectsPath+"servers", "")).Items).To(HaveLen(1))
	})

	It("rejects a watch from before the start of the history", func() {
		mustCall("POST", control+"/control", `{"history_from":7}`)
		Expect(mustCall("GET", url+objectsPath+"a?watch=6&waitMs=10", "").StatusCode).To(Equal(410))
		Expect(mustCall("GET", url+objectsPath+"a?watch=7&waitMs=10", "").StatusCode).To(Equal(200))
	})

	It("ends pending watches in an outage", func() {
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			statuses <- mustCall("GET", url+objectsPath+"a?watch=0&waitMs=30000", "").StatusCode
		}()
		mustCall("POST", control+"/control", `{"outage":true}`)
		Eventually(statuses, 5*time.Second).Should(Receive(Equal(503)))
		Expect(mustCall("GET", url+objectsPath+"servers", "").StatusCode).To(Equal(503))
	})

	It("limits the rate of writes independently of reads", func() {
		mustCall("POST", control+"/control", `{"writes_per_second":0.001}`)
		Expect(mustCall("POST", url+objectsPath+"a/1", objectBody("x", 0)).StatusCode).To(Equal(200))
		Expect(mustCall("PUT", url+objectsPath+"a/1", objectBody("y", 0)).StatusCode).To(Equal(429))
		Expect(mustCall("GET", url+objectsPath+"a/1", "").StatusCode).To(Equal(200))
	})

	It("lists the servers' objects with a lag", func() {
		mustCall("POST", control+"/vms", `{"vms":[{"id":"v1","incarnation":1,"address":"127.0.0.1","state":"live"}]}`)
		mustCall("POST", control+"/control", `{"vm_lag_ms":3600000}`)
		Expect(decode[standin.Page](mustCall("GET", url+objectsPath+"servers", "")).Items).To(BeEmpty())
		mustCall("POST", control+"/control", `{"vm_lag_ms":0}`)
		items := decode[standin.Page](mustCall("GET", url+objectsPath+"servers", "")).Items
		Expect(items).To(HaveLen(1))
		Expect(string(items[0].Spec)).To(ContainSubstring(`"state":"ready"`))
	})

	It("rejects an unknown switch", func() {
		Expect(mustCall("POST", control+"/control", `{"no_such_switch":1}`).StatusCode).To(Equal(400))
	})
})
