package standin_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

var _ = Describe("a server of the platform", func() {
	type server struct {
		standIn  standin.StandIn
		counters func() standin.InstanceCounters
		path     string
	}
	service := func(cold time.Duration) server {
		s := standin.NewService(standin.ServiceOptions{ID: "s-1", Slots: 8, Cold: cold})
		return server{s, func() standin.InstanceCounters { return s.Counters().InstanceCounters }, "/"}
	}
	engine := func(cold time.Duration) server {
		e := standin.NewEngine(standin.EngineOptions{ID: "s-1", Slots: 8, Cold: cold})
		return server{e, func() standin.InstanceCounters { return e.Counters().InstanceCounters }, "/v1/completions"}
	}
	counters := func(received uint64) standin.InstanceCounters {
		return standin.InstanceCounters{Received: received, ColdCounters: standin.ColdCounters{ColdReceived: 3, ColdPeak: 3}}
	}
	body := requestBody(standin.CompletionRequest{Prompt: "a", MaxTokens: 1})

	// Guards against a meter that misses requests, or counts those that do not count: health
	// checks and requests for another server.
	DescribeTable("counts the requests within a second while it is cold", func(start func(time.Duration) server) {
		s := start(time.Hour)
		url, control := serveStandIn(s.standIn)
		for range 3 {
			response := mustCall("POST", url+s.path, body, "Attempt-Id", "a1", "Expect-Instance", "s-1")
			Expect(response.StatusCode).To(Equal(200))
			Expect(response.Header.Get("Attempt-Id")).To(Equal("a1"))
			Expect(response.Header.Get("Server-Seal")).To(Equal("s-1"))
			Expect(response.Header.Get("Cold-Ms")).NotTo(BeEmpty())
		}
		other := mustCall("POST", url+s.path, body, "Expect-Instance", "s-2")
		Expect(other.StatusCode).To(Equal(http.StatusMisdirectedRequest))
		Expect(other.Header.Get("Not-Run")).NotTo(BeEmpty())
		Expect(mustCall("GET", url+"/health", "").StatusCode).To(Equal(200))
		Expect(s.counters()).To(Equal(counters(3)))
		Expect(mustCall("POST", control+"/cold", `{"ms":0}`).StatusCode).To(Equal(200))
		Expect(mustCall("POST", url+s.path, body).Header.Get("Cold-Ms")).To(BeEmpty())
		Expect(s.counters()).To(Equal(counters(4)))
	}, Entry("a plain service", service), Entry("an engine", engine))
})
