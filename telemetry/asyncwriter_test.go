package telemetry

import (
	"bytes"
	"expvar"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// stuckWriter is a pipe that nobody reads until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func dropped(level string) int64 {
	value, ok := droppedLines.Get(level).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

func TestLogNeverBlocksOnItsReader(t *testing.T) {
	g := NewWithT(t)
	out := &stuckWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out)
	log := zap.New(newAsyncCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), writer, zap.InfoLevel))
	infos, warnings := dropped("info"), dropped("warn")
	const lines = 3 * queueLines
	for range lines {
		log.Info("decision")
	}
	kept := int64(lines) - (dropped("info") - infos)
	g.Expect(kept).To(BeNumerically("~", queueLines/2, 2))
	// Warnings have the other half of the queue.
	for range queueLines {
		log.Warn("trouble")
	}
	g.Expect(dropped("warn") - warnings).To(BeNumerically("~", queueLines/2, 2))
	writer.Close() // Nobody reads: it must return all the same.
	close(out.release)
}

func TestLogWritesWholeLinesInOrder(t *testing.T) {
	g := NewWithT(t)
	out := &stuckWriter{release: make(chan struct{})}
	close(out.release)
	writer := NewAsyncWriter(out)
	log := zap.New(newAsyncCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), writer, zap.InfoLevel))
	log.Debug("hidden")
	log.With(zap.String("request", "r1")).Info("first")
	log.Info("second", zap.Int("n", 2))
	writer.Close()
	g.Expect(out.got.String()).To(Equal(`{"msg":"first","request":"r1"}` + "\n" + `{"msg":"second","n":2}` + "\n"))
}
