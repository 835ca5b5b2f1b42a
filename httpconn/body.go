package httpconn

import (
	"errors"
	"io"
	"iter"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

const (
	// bodyChunkBytes is the size of the parts in which a body is held. Most bodies are shorter.
	bodyChunkBytes = 8 << 10
	// maxFreeBytes limits the memory that is kept to be used again.
	maxFreeBytes = 8 << 20
)

var (
	// ErrBodyTooLong reports a body over the limit of a call.
	ErrBodyTooLong = eris.New("httpconn: body too long")
	// ErrBodiesTooLong reports a body that was dropped because too much is held of others.
	ErrBodiesTooLong = eris.New("httpconn: bodies too long together")
)

// BodyReader reads bodies into memory that it uses again, and limits what it holds of all of them
// together. A buffer that grows in steps would leave several times its size behind. It is safe for
// concurrent use.
type BodyReader struct {
	held *semaphore.Weighted
	free chan *bodyChunk
}

type bodyChunk [bodyChunkBytes]byte

// NewBodyReader returns a reader that holds at most limit bytes, and the first part of each body.
func NewBodyReader(limit int64) *BodyReader {
	return &BodyReader{
		held: semaphore.NewWeighted(limit),
		free: make(chan *bodyChunk, min(limit, maxFreeBytes)/bodyChunkBytes),
	}
}

// take returns memory that is free.
func (b *BodyReader) take() *bodyChunk {
	select {
	case chunk := <-b.free:
		return chunk
	default:
		return new(bodyChunk)
	}
}

// give makes memory free.
func (b *BodyReader) give(chunk *bodyChunk) {
	select {
	case b.free <- chunk:
	default:
	}
}

// ReadAll returns all that r returns until io.EOF. Its errors are those of Read.
func (b *BodyReader) ReadAll(r io.Reader, limit int) ([]byte, error) {
	body, err := b.Read(r, limit)
	defer body.Release()
	if err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// Read reads r until io.EOF and returns the body, or its beginning with an error. These are
// ErrBodyTooLong for more than limit bytes, ErrBodiesTooLong, and those of r. Release must be
// called.
func (b *BodyReader) Read(r io.Reader, limit int) (*Body, error) {
	body := &Body{reader: b}
	for {
		free, err := body.free()
		if err != nil {
			return body, err
		}
		n, err := r.Read(free)
		body.length += n
		switch {
		case errors.Is(err, io.EOF) && body.length <= limit:
			return body, nil
		case body.length > limit:
			return body, eris.Wrapf(ErrBodyTooLong, "over %d bytes", limit)
		case err != nil:
			return body, err
		}
	}
}

// Body is a body or the beginning of one. It holds memory of its reader.
type Body struct {
	reader *BodyReader
	chunks []*bodyChunk
	length int
}

// free returns the memory for the next bytes.
func (b *Body) free() ([]byte, error) {
	if b.length == len(b.chunks)*bodyChunkBytes {
		if len(b.chunks) > 0 && !b.reader.held.TryAcquire(bodyChunkBytes) {
			return nil, ErrBodiesTooLong
		}
		b.chunks = append(b.chunks, b.reader.take())
	}
	last := len(b.chunks) - 1
	return b.chunks[last][b.length-last*bodyChunkBytes:], nil
}

// Parts returns the parts of the body in order. They are valid until Release.
func (b *Body) Parts() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		left := b.length
		for _, chunk := range b.chunks {
			part := chunk[:min(bodyChunkBytes, left)]
			left -= len(part)
			if !yield(part) {
				return
			}
		}
	}
}

// Bytes returns a copy of the body.
func (b *Body) Bytes() []byte {
	out := make([]byte, 0, b.length)
	for part := range b.Parts() {
		out = append(out, part...)
	}
	return out
}

// Release gives the memory back. The body is empty afterwards.
func (b *Body) Release() {
	for i, chunk := range b.chunks {
		b.reader.give(chunk)
		if i > 0 {
			b.reader.held.Release(bodyChunkBytes)
		}
	}
	b.chunks, b.length = nil, 0
}
