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

// Lines that wait are written together, whole, in calls of a bounded size.
func TestLogGathersLinesThatWait(t *testing.T) {
	g := NewWithT(t)
	out := &countingWriter{stuckWriter: stuckWriter{release: make(chan struct{})}}
	writer := NewAsyncWriter(out)
	text := bytes.Repeat([]byte("x"), 999)
	text = append(text, '\n')
	const lines = 101
	for range lines {
		writer.Put(zapcore.InfoLevel, text)
	}
	long := append(bytes.Repeat([]byte("y"), 2*batchBytes), '\n')
	writer.Put(zapcore.InfoLevel, long)
	close(out.release)
	writer.Close()
	g.Expect(out.got.Len()).To(Equal(lines*len(text) + len(long)))
	g.Expect(len(out.sizes)).To(BeNumerically("<=", lines/4+3))
	for _, size := range out.sizes {
		g.Expect(size <= batchBytes || size == len(long)).To(BeTrue())
		g.Expect(size == len(long) || size%len(text) == 0).To(BeTrue(), "whole lines")
	}
}

// countingWriter notes the size of each write.
type countingWriter struct {
	stuckWriter
	sizes []int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.sizes = append(w.sizes, len(p))
	return w.stuckWriter.Write(p)
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
