// Package wait sleeps until a time is over or a context has ended.
package wait

import (
	"context"
	"time"
)

// For waits for a time. It returns false where the context ends first.
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
