// Package rolling provides a sliding time window that consists of fixed-width
// buckets. It does no I/O and reads no clock.
package rolling

import "time"

// Window is a sliding window with one bucket per step. Steps are numbered from the
// first use by the monotonic clock. It is not safe for concurrent use.
type Window[T any] struct {
	step   time.Duration
	origin time.Time
	// newest is the number of the newest step.
	newest  int64
	buckets []T
}

// New returns an empty window of the given span, divided into steps.
func New[T any](span time.Duration, steps int) *Window[T] {
	return &Window[T]{step: max(span/time.Duration(steps), 1), buckets: make([]T, steps)}
}

// Current returns the bucket that contains now.
func (w *Window[T]) Current(now time.Time) *T {
	w.advance(now)
	return &w.buckets[w.newest%int64(len(w.buckets))]
}

// At returns the bucket that contains the time at, or nil if that time is outside the
// window that ends now.
func (w *Window[T]) At(now, at time.Time) *T {
	w.advance(now)
	step := int64(at.Sub(w.origin) / w.step)
	if step <= w.newest-int64(len(w.buckets)) || step > w.newest || at.Before(w.origin) {
		return nil
	}
	return &w.buckets[step%int64(len(w.buckets))]
}

// Buckets returns the buckets of the window that ends now, in unspecified order.
func (w *Window[T]) Buckets(now time.Time) []T {
	w.advance(now)
	return w.buckets
}

// History returns the buckets of the window that ends now, newest first.
func (w *Window[T]) History(now time.Time) []T {
	w.advance(now)
	history := make([]T, 0, len(w.buckets))
	newestIndex := int(w.newest % int64(len(w.buckets)))
	for i := newestIndex; i >= 0; i-- {
		history = append(history, w.buckets[i])
	}
	for i := len(w.buckets) - 1; i > newestIndex; i-- {
		history = append(history, w.buckets[i])
	}
	return history
}

// advance moves the window to now and clears the buckets of the new steps. A time
// before the newest step leaves the window unchanged.
func (w *Window[T]) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	step := int64(now.Sub(w.origin) / w.step)
	if step-w.newest >= int64(len(w.buckets)) {
		clear(w.buckets)
		w.newest = step
	}
	for w.newest < step {
		w.newest++
		var empty T
		w.buckets[w.newest%int64(len(w.buckets))] = empty
	}
}
