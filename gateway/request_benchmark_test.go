package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/route"
	"fulmarspindle.example/fulmarspindle/slowcaller"
)

// BenchmarkStreamedResponse relays responses of 40 events, each of which the upstream
// sends in a separate write, with writes that wait for the caller and with those that
// queue what a slow caller does not accept.
func BenchmarkStreamedResponse(b *testing.B) {
	b.Run("waiting", func(b *testing.B) { benchmarkStreamedResponse(b, slowcaller.Options{}) })
	b.Run("queueing", func(b *testing.B) {
		benchmarkStreamedResponse(b, slowcaller.Options{MaxResponseBytes: 1 << 20, MaxTotalBytes: 1 << 23})
	})
}

func benchmarkStreamedResponse(b *testing.B, options slowcaller.Options) {
	const events = 40
	engine := startServer(b, "i-1", "engines", func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		for id := range events {
			chunk(c, event(id))
		}
		lastChunk(c)
	})
	configuration := definition(1)
	configuration.Limits = route.Limits{BodyBytes: 1 << 20}
	configuration.Services[1].Engine.MemoryTokens = 1 << 30
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zap.InfoLevel))
	n := startGateway(b, "g1", storeOf(configuration, engine), func(o *gateway.Options) {
		o.Log, o.SlowCallers = log, options
		o.Location = fleet.Location{Region: "r1", FailureDomain: "d1"}
	})
	awaitReady(b, n)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := send(n, http.MethodPost, "/stream/1", "prompt"); err != nil {
			b.Fatal(err)
		}
	}
}
