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

// blockedWriter blocks each write until release is closed, as a pipe without a reader.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func dropped(level string) int64 {
	value, ok := droppedLines.Get(level).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

func TestLogDoesNotBlockWithoutAReader(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out)
	log := zap.New(newAsyncCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), writer, zap.InfoLevel))
	infos, warnings := dropped("info"), dropped("warn")
	const lines = 3 * maxQueuedLines
	for range lines {
		log.Info("info line")
	}
	kept := int64(lines) - (dropped("info") - infos)
	g.Expect(kept).To(BeNumerically("~", maxQueuedLines/2, 2))
	// Warnings may use the second half of the queue.
	for range maxQueuedLines {
		log.Warn("warning line")
	}
	g.Expect(dropped("warn") - warnings).To(BeNumerically("~", maxQueuedLines/2, 2))
	writer.Close() // Must return although no line can be written.
	close(out.release)
}

// Queued lines are written in batches of whole lines and of a limited size.
func TestLogBatchesQueuedLines(t *testing.T) {
	g := NewWithT(t)
	out := &recordingWriter{blockedWriter: blockedWriter{release: make(chan struct{})}}
	writer := NewAsyncWriter(out)
	text := bytes.Repeat([]byte("x"), 999)
	text = append(text, '\n')
	const lines = 101
	for range lines {
		writer.Enqueue(zapcore.InfoLevel, text)
	}
	long := append(bytes.Repeat([]byte("y"), 2*maxBatchBytes), '\n')
	writer.Enqueue(zapcore.InfoLevel, long)
	close(out.release)
	writer.Close()
	g.Expect(out.written.Len()).To(Equal(lines*len(text) + len(long)))
	g.Expect(len(out.sizes)).To(BeNumerically("<=", lines/4+3))
	for _, size := range out.sizes {
		g.Expect(size <= maxBatchBytes || size == len(long)).To(BeTrue())
		g.Expect(size == len(long) || size%len(text) == 0).To(BeTrue(), "whole lines")
	}
}

// recordingWriter records the size of each write.
type recordingWriter struct {
	blockedWriter
	sizes []int
}

func (w *recordingWriter) Write(p []byte) (int, error) {
	w.sizes = append(w.sizes, len(p))
	return w.blockedWriter.Write(p)
}

func TestLogWritesWholeLinesInOrder(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	writer := NewAsyncWriter(out)
	log := zap.New(newAsyncCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), writer, zap.InfoLevel))
	log.Debug("hidden")
	log.With(zap.String("request", "r1")).Info("first")
	log.Info("second", zap.Int("n", 2))
	writer.Close()
	g.Expect(out.written.String()).To(Equal(`{"msg":"first","request":"r1"}` + "\n" + `{"msg":"second","n":2}` + "\n"))
}
