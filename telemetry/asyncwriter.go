package telemetry

import (
	"expvar"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 4096
	// batchBytes bounds the lines that are written in one call. Writes to a pipe are
	// whole up to this size, also when several processes share it.
	batchBytes = 4 << 10
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

// AsyncWriter writes lines in a goroutine of its own, those that wait in one call.
// Put never blocks: while more than half of the queue waits, lines below the warning
// level are dropped, and all lines when it is full.
type AsyncWriter struct {
	out   io.Writer
	queue chan line
	// next is a line that did not fit into the last batch.
	next line
	// waiting is the number of lines that have not been written.
	waiting atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan line, queueLines+1), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for open := true; open; {
		var batch []line
		batch, open = w.gather()
		w.write(batch)
	}
}

// gather waits for a line and takes those behind it that fit into a batch. It
// returns false at the end of the log.
func (w *AsyncWriter) gather() ([]line, bool) {
	first := w.next
	w.next = line{}
	if first.text == nil {
		first = <-w.queue
	}
	if first.text == nil {
		return nil, false
	}
	batch, size := []line{first}, len(first.text)
	for {
		select {
		case l := <-w.queue:
			if l.text == nil {
				return batch, false
			}
			if size+len(l.text) > batchBytes {
				w.next = l
				return batch, true
			}
			batch = append(batch, l)
			size += len(l.text)
		default:
			return batch, true
		}
	}
}

// write writes lines in one call, and counts them as dropped if it fails.
func (w *AsyncWriter) write(batch []line) {
	if len(batch) == 0 {
		return
	}
	var text []byte
	for _, l := range batch {
		text = append(text, l.text...)
	}
	_, err := w.out.Write(text)
	w.waiting.Add(-int64(len(batch)))
	if err == nil {
		return
	}
	for _, l := range batch {
		droppedLines.Add(l.level.String(), 1)
	}
}

// Put queues a line, or drops and counts it.
func (w *AsyncWriter) Put(level zapcore.Level, text []byte) {
	bound := int64(queueLines)
	if level < zapcore.WarnLevel {
		bound /= 2
	}
	if w.waiting.Add(1) > bound {
		w.waiting.Add(-1)
		droppedLines.Add(level.String(), 1)
		return
	}
	w.queue <- line{level: level, text: text}
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
