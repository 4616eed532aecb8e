package daemon

import (
	"context"

	"github.com/mustardstep/mustardstep/submission"
)

// Refuse implements httpfront.Backend. It routes the request like Submit, because
// only the owner knows whether the key was used before. The owner checks a new
// submission against its own catalog.
func (d *Daemon) Refuse(ctx context.Context, r *submission.Request) submission.Answer {
	return d.Submit(ctx, r)
}
