package peer

import (
	"sync"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// sendQueueLength limits the control messages queued in a session.
const sendQueueLength = 1024

// sendQueue is the queue of outgoing control messages of a session. Unlike a buffered
// channel, it allocates no space for messages while it is empty.
type sendQueue struct {
	// ready has an element if the queue may hold messages.
	ready chan struct{}

	mu       sync.Mutex
	messages []*peerpb.Envelope
}

func newSendQueue() *sendQueue {
	return &sendQueue{ready: make(chan struct{}, 1)}
}

// put appends a message. It returns false if the queue is full.
func (q *sendQueue) put(env *peerpb.Envelope) bool {
	q.mu.Lock()
	full := len(q.messages) >= sendQueueLength
	if !full {
		q.messages = append(q.messages, env)
	}
	q.mu.Unlock()
	if full {
		return false
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// takeAll removes and returns all messages in the order they were added.
func (q *sendQueue) takeAll() []*peerpb.Envelope {
	q.mu.Lock()
	defer q.mu.Unlock()
	messages := q.messages
	q.messages = nil
	return messages
}
