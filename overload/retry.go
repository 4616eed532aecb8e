package overload

import (
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// RetryAfter returns the delay for the caller of a rejected job: the base, or the expected time
// until the backlog is worked off if that is longer, with a jitter of the same length, so that
// callers do not return together. seed identifies the job.
func (c *Controller) RetryAfter(base time.Duration, seed string) time.Duration {
	return RetryAfter(max(base, c.Wait(c.Total())), seed)
}

// maxRetryAfter bounds Retry-After without its jitter: capacity may return at any time.
const maxRetryAfter = 10 * time.Second

// RetryAfter returns a delay of at most maxRetryAfter with a random jitter of up to the same length.
// seed identifies the job.
func RetryAfter(delay time.Duration, seed string) time.Duration {
	delay = min(delay, maxRetryAfter)
	return delay + time.Duration(float64(delay)*float64(rendezvous.Hash(seed)%1024)/1024)
}
