package telemetry

import (
	"expvar"
	"io"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 4096
	// closeTimeout bounds how long Close waits for the reader.
	closeTimeout = 500 * time.Millisecond
)

// droppedLines counts the log lines that were not written, by level.
var droppedLines = expvar.NewMap("log_lines_dropped")

// line is an encoded log line.
type line struct {
	level zapcore.Level
	text  []byte
}

// AsyncWriter writes lines in a goroutine of its own. Put never blocks: while more
// than half of the queue waits, lines below the warning level are dropped, and all
// lines when it is full.
type AsyncWriter struct {
	out   io.Writer
	queue chan line
	done  chan struct{}
	once  sync.Once
}

// NewAsyncWriter returns a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan line, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for l := range w.queue {
		if l.text == nil {
			return
		}
		if _, err := w.out.Write(l.text); err != nil {
			droppedLines.Add(l.level.String(), 1)
		}
	}
}

// Put queues a line, or drops and counts it.
func (w *AsyncWriter) Put(level zapcore.Level, text []byte) {
	if level < zapcore.WarnLevel && len(w.queue) > queueLines/2 {
		droppedLines.Add(level.String(), 1)
		return
	}
	select {
	case w.queue <- line{level: level, text: text}:
	default:
		droppedLines.Add(level.String(), 1)
	}
}

// Close waits for the queued lines, for a bounded time. Lines that are put later
// may be lost.
func (w *AsyncWriter) Close() {
	w.once.Do(func() {
		timeout := time.After(closeTimeout)
		select {
		case w.queue <- line{}:
		case <-timeout:
			return
		}
		select {
		case <-w.done:
		case <-timeout:
		}
	})
}

// asyncCore encodes entries for an AsyncWriter.
type asyncCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	writer  *AsyncWriter
}

func newAsyncCore(encoder zapcore.Encoder, writer *AsyncWriter, level zapcore.LevelEnabler) zapcore.Core {
	return &asyncCore{LevelEnabler: level, encoder: encoder, writer: writer}
}

// With implements zapcore.Core.
func (c *asyncCore) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, field := range fields {
		field.AddTo(encoder)
	}
	return &asyncCore{LevelEnabler: c.LevelEnabler, encoder: encoder, writer: c.writer}
}

// Check implements zapcore.Core.
func (c *asyncCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *asyncCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	buf, err := c.encoder.EncodeEntry(entry, fields)
	if err != nil {
		return err
	}
	text := append([]byte(nil), buf.Bytes()...)
	buf.Free()
	c.writer.Put(entry.Level, text)
	return nil
}

// Sync implements zapcore.Core. Lines are written as they come.
func (c *asyncCore) Sync() error { return nil }
