package dispatch

import (
	"container/heap"
	"time"
)

// timer is an entry of timers. The zero value is stopped.
type timer[T any] struct {
	owner T
	at    time.Time
	order uint64
	// position is the index in the heap plus one; zero when stopped.
	position int
}

// timers is a priority queue of timers. Timers with equal times fire in the order
// in which they were set, so that replays are deterministic.
type timers[T any] struct {
	heap  timerHeap[T]
	order uint64
}

// set starts or reschedules a timer.
func (t *timers[T]) set(tm *timer[T], at time.Time) {
	t.order++
	tm.at = at
	tm.order = t.order
	if tm.position > 0 {
		heap.Fix(&t.heap, tm.position-1)
		return
	}
	heap.Push(&t.heap, tm)
}

// stop stops a timer; it has no effect on a stopped one.
func (t *timers[T]) stop(tm *timer[T]) {
	if tm.position > 0 {
		heap.Remove(&t.heap, tm.position-1)
	}
}

// next returns the time of the earliest timer; false if there is none.
func (t *timers[T]) next() (time.Time, bool) {
	if len(t.heap) == 0 {
		return time.Time{}, false
	}
	return t.heap[0].at, true
}

// popDue removes and returns the earliest timer if it is due.
func (t *timers[T]) popDue(now time.Time) (*timer[T], bool) {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		return nil, false
	}
	return heap.Pop(&t.heap).(*timer[T]), true
}

// timerHeap implements heap.Interface.
type timerHeap[T any] []*timer[T]

func (h timerHeap[T]) Len() int { return len(h) }

func (h timerHeap[T]) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i + 1
	h[j].position = j + 1
}

func (h *timerHeap[T]) Push(x any) {
	tm := x.(*timer[T])
	*h = append(*h, tm)
	tm.position = len(*h)
}

func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	tm := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	tm.position = 0
	return tm
}
