package daemon

import (
	"context"

	"github.com/mustardstep/mustardstep/submission"
)

// Refuse implements httpfront.Backend. The owner has the last word: it knows
// what became of the key, and it judges a new submission by its own catalog.
func (d *Daemon) Refuse(ctx context.Context, r *submission.Request) submission.Answer {
	return d.Submit(ctx, r)
}
