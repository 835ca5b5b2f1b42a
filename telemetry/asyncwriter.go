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
	// maxQueuedLines is the capacity of the queue, in lines.
	maxQueuedLines = 4096
	// maxBatchBytes is the maximum size of a batch that is written in one call. Writes
	// to a pipe are atomic up to this size, also when several processes share the pipe.
	// A longer line is written on its own.
	maxBatchBytes = 4 << 10
	// closeTimeout is the maximum time that Close waits for the queued lines to be
	// written.
	closeTimeout = 500 * time.Millisecond
)

// droppedLines counts the log lines that were dropped or could not be written, by level.
var droppedLines = expvar.NewMap("log_lines_dropped")

// line is an encoded log line.
type line struct {
	level zapcore.Level
	text  []byte
}

// AsyncWriter writes log lines in a background goroutine, with queued lines batched
// into one write. Enqueue never blocks: lines below the warning level are dropped while
// the queue is more than half full, and all lines when it is full.
type AsyncWriter struct {
	out   io.Writer
	queue chan line
	// held is a line that did not fit into the last batch; it starts the next one.
	held line
	// queued is the number of lines that have not been written.
	queued    atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsyncWriter returns an AsyncWriter to out and starts its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan line, maxQueuedLines+1), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for open := true; open; {
		var batch []line
		batch, open = w.nextBatch()
		w.write(batch)
	}
}

// nextBatch waits for a line and adds the queued lines that fit into the same batch. It
// returns false once the writer is closed.
func (w *AsyncWriter) nextBatch() ([]line, bool) {
	first := w.held
	w.held = line{}
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
			if size+len(l.text) > maxBatchBytes {
				w.held = l
				return batch, true
			}
			batch = append(batch, l)
			size += len(l.text)
		default:
			return batch, true
		}
	}
}

// write writes a batch in one call, and counts its lines as dropped if that fails.
func (w *AsyncWriter) write(batch []line) {
	if len(batch) == 0 {
		return
	}
	var text []byte
	for _, l := range batch {
		text = append(text, l.text...)
	}
	_, err := w.out.Write(text)
	w.queued.Add(-int64(len(batch)))
	if err == nil {
		return
	}
	for _, l := range batch {
		droppedLines.Add(l.level.String(), 1)
	}
}

// Enqueue adds a line to the queue. If the queue is too full for the level, it drops the
// line and counts it.
func (w *AsyncWriter) Enqueue(level zapcore.Level, text []byte) {
	limit := int64(maxQueuedLines)
	if level < zapcore.WarnLevel {
		limit /= 2
	}
	if w.queued.Add(1) > limit {
		w.queued.Add(-1)
		droppedLines.Add(level.String(), 1)
		return
	}
	w.queue <- line{level: level, text: text}
}

// Close waits until the queued lines are written, at most closeTimeout. Lines that are
// enqueued later may be lost.
func (w *AsyncWriter) Close() {
	w.closeOnce.Do(func() {
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

// asyncCore is a zapcore.Core that encodes entries and passes them to an AsyncWriter.
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
	c.writer.Enqueue(entry.Level, text)
	return nil
}

// Sync implements zapcore.Core. It does nothing: the AsyncWriter writes each line as soon as
// it can, and Close waits for the queue.
func (c *asyncCore) Sync() error { return nil }
