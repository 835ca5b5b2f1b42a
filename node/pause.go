package node

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
