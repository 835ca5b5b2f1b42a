package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// insertionPermille is the share of streams, in thousandths, into which a faulty engine
	// inserts bytes. It leaves enough sound streams for the engine to stay in use.
	insertionPermille = 300
	// insertionSeedStream separates these draws from others of the same seed.
	insertionSeedStream = 3
)

// insertion is what an engine inserts into a stream.
type insertion struct {
	// before is the id of the event before which the bytes are sent, one more than the last
	// id to send them after the last event.
	before int
	// within sends them between the lines of that event instead.
	within bool
	bytes  string
}

// insertedBytes are bytes that are no event of a stream, by what they look like.
var insertedBytes = []string{
	"garbage\r\n\r\n",
	"garbage",
	"\x00\x17\x03\n\n",
	"data: \xff\xfe\n\n",
	"HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": full\r\nContent-Length: 0\r\n\r\n",
	insertedData,
	"", // stands for an event with an id that came before
}

// insertedData is an event without an id. Within an event it would be a part of its data.
const insertedData = "data: inserted\n\n"

// insertions draws what a faulty engine does to its streams. It is safe for concurrent use.
type insertions struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newInsertions(seed uint64) *insertions {
	return &insertions{random: rand.New(rand.NewPCG(seed, insertionSeedStream))}
}

// draw returns what to insert into a stream of the events after first up to last, nil for
// nothing, and whether the stream ends with its connection instead of a last chunk.
func (n *insertions) draw(first, last int) (inserted *insertion, closeDelimited bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	faulty, closeDelimited := n.random.IntN(1000) < insertionPermille, n.random.IntN(2) == 0
	before, within := first+1+n.random.IntN(last-first+1), n.random.IntN(4) == 0
	bytes := insertedBytes[n.random.IntN(len(insertedBytes))]
	if !faulty {
		return nil, closeDelimited
	}
	within = within && before <= last
	if bytes == "" {
		// Without an event before it, the id would be a new one.
		before, within = max(before, first+2), false
		bytes = fmt.Sprintf("id: %d\n%s", before-1, insertedData)
	}
	return &insertion{before: before, within: within && bytes != insertedData, bytes: bytes}, closeDelimited
}

// pieceWith returns the bytes to send for the event with an id.
func (n *insertion) pieceWith(id int, piece string) string {
	if n == nil || n.before != id {
		return piece
	}
	if !n.within {
		return n.bytes + piece
	}
	line := len(fmt.Sprintf("id: %d\n", id))
	return piece[:line] + n.bytes + piece[line:]
}

// sendStream sends the events of a run, with what the engine inserts while it is faulty.
func (e *engine) sendStream(w http.ResponseWriter, r *http.Request, a *Arrival) {
	_, last := tokenCounts(r.Header)
	var inserted *insertion
	closeDelimited := false
	if n := e.insertions.Load(); n != nil && a.ResumedAfter < last {
		inserted, closeDelimited = n.draw(a.ResumedAfter, last)
	}
	conn := connOf(r.Context())
	if closeDelimited {
		// net/http sends neither a length nor chunks then, and closes the connection.
		w.Header().Set("Transfer-Encoding", "identity")
		conn.unfinished.Store(true)
	}
	if !e.generate(w, r, a, inserted) {
		return
	}
	if inserted != nil && inserted.before == last+1 {
		_, _ = io.WriteString(w, inserted.bytes)
	}
	conn.unfinished.Store(false)
}

// insertBytes lets an engine insert bytes into its streams for some time.
func (e *engine) insertBytes(ctx context.Context, duration time.Duration) {
	e.insertions.Store(newInsertions(uint64(duration)))
	sleep(ctx, duration)
	e.insertions.Store(nil)
}
