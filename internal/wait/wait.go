// Package wait provides a sleep that a context can cancel.
package wait

import (
	"context"
	"time"
)

// For waits for a duration. It returns false if the context is done first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
