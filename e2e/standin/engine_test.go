package standin_test

import (
	"encoding/json"
	"io"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

func requestBody(req standin.CompletionRequest) string {
	data, err := json.Marshal(req)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = Describe("the engine", func() {
	var (
		url, control string
		engine       *standin.Engine
		exits        chan int
		options      standin.EngineOptions
	)
	request := standin.CompletionRequest{
		Model:     "m",
		Messages:  []standin.Message{{Role: "user", Content: "the heater stalls"}},
		MaxTokens: 20,
		Stream:    true,
	}

	BeforeEach(func() {
		exits = make(chan int, 1)
		switches := standin.DefaultEngineSwitches()
		switches.TokenIntervalMs = 1
		options = standin.EngineOptions{Slots: 2, Switches: switches, Exit: func(code int) { exits <- code }}
	})

	JustBeforeEach(func() {
		engine = standin.NewEngine(options)
		url, control = serveStandIn(engine)
	})

	It("streams the events of StreamEvents and resumes at an offset", func() {
		var want []byte
		for _, event := range standin.StreamEvents(request, true) {
			want = append(want, event...)
		}
		Expect(mustCall("POST", url+"/v1/chat/completions", requestBody(request))).To(HaveHTTPBody(want))
		offset := len(want)/2 + 1
		resumed := mustCall("POST", url+"/v1/chat/completions", requestBody(request), "X-Resume-Offset", strconv.Itoa(offset))
		Expect(resumed.Header.Get("X-Resumed-At")).To(Equal(strconv.Itoa(offset)))
		Expect(resumed).To(HaveHTTPBody(want[offset:]))
		mustCall("POST", control+"/control", `{"resume":false}`)
		full := mustCall("POST", url+"/v1/chat/completions", requestBody(request), "X-Resume-Offset", strconv.Itoa(offset))
		Expect(full.Header.Get("X-Resumed-At")).To(BeEmpty())
		Expect(full).To(HaveHTTPBody(want))
	})

	It("responds to a request without streaming with text and usage", func() {
		req := standin.CompletionRequest{Model: "m", Prompt: "draft", MaxTokens: 3}
		completion := decode[standin.Completion](mustCall("POST", url+"/v1/completions", requestBody(req)))
		Expect(*completion.Choices[0].Text).To(Equal(standin.CompletionText("draft", 3)))
		Expect(completion.Usage.CompletionTokens).To(Equal(3))
	})

	It("cuts one stream after a number of tokens", func() {
		mustCall("POST", control+"/control", `{"die_after_tokens":3}`)
		body, err := io.ReadAll(mustCall("POST", url+"/v1/chat/completions", requestBody(request)).Body)
		Expect(err).To(HaveOccurred())
		Expect(body).NotTo(BeEmpty())
		_, err = io.ReadAll(mustCall("POST", url+"/v1/chat/completions", requestBody(request)).Body)
		Expect(err).NotTo(HaveOccurred())
	})

	It("runs no more requests than it has slots and queues the others", func() {
		mustCall("POST", control+"/control", `{"hang":true}`)
		for range 3 {
			go func() {
				// Closing the server cuts off a request that is still running.
				resp, err := call("POST", url+"/v1/chat/completions", requestBody(request))
				if err == nil {
					resp.Body.Close()
				}
			}()
		}
		Eventually(func() standin.EngineCounters { return engine.Counters() }).Should(And(
			HaveField("Running", 2), HaveField("Queued", 1)))
		mustCall("POST", control+"/control", `{"hang":false}`)
		Eventually(func() standin.EngineCounters { return engine.Counters() }).Should(And(
			HaveField("Running", 0), HaveField("Queued", 0), HaveField("Peak", 2)))
	})

	It("exits when a request with the crash marker starts", func() {
		req := standin.CompletionRequest{Model: "m", Prompt: "x " + standin.CrashMarker}
		mustCall("POST", url+"/v1/completions", requestBody(req))
		Expect(exits).To(Receive(Equal(1)))
	})

	sendOrder := func(fencingToken int) int {
		return mustCall("POST", url+"/orders", `{"fencing":`+strconv.Itoa(fencingToken)+`,"kind":"load","model":"m"}`).StatusCode
	}

	It("applies stale orders if it does not check fencing tokens", func() {
		Expect(sendOrder(5)).To(Equal(200))
		Expect(sendOrder(4)).To(Equal(200))
		Expect(decode[standin.OrderState](mustCall("GET", url+"/orders", "")).Stale).To(BeEquivalentTo(1))
	})

	Context("with fencing checks", func() {
		BeforeEach(func() { options.ChecksFencing = true })

		It("rejects stale orders", func() {
			Expect(sendOrder(5)).To(Equal(200))
			Expect(sendOrder(4)).To(Equal(409))
			Expect(sendOrder(5)).To(Equal(200))
			Expect(decode[standin.OrderState](mustCall("GET", url+"/orders", "")).Stale).To(BeZero())
		})
	})
})

var _ = Describe("the plain service", func() {
	It("counts runs per idempotency key, including those whose response is lost", func() {
		service := standin.NewService(standin.ServiceOptions{Slots: 2, Switches: standin.ServiceSwitches{LoseResponses: 1}})
		url, control := serveStandIn(service)
		_, err := call("POST", url+"/bookings", "{}", "Idempotency-Key", "k1")
		Expect(err).To(HaveOccurred())
		response := decode[standin.ServiceResponse](mustCall("POST", url+"/bookings", "{}", "Idempotency-Key", "k1"))
		Expect(response.Run).To(Equal(2))
		Expect(decode[map[string]int](mustCall("GET", control+"/counts", ""))).To(Equal(map[string]int{"k1": 2}))
		Expect(service.Counters().Repeated).To(Equal(1))
	})
})
