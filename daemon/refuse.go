package daemon

import (
	"context"

	"github.com/mustardstep/mustardstep/submission"
)

// Refuse implements httpfront.Backend. It forwards the request to the owner, which
// knows whether the key was used before and checks a new submission against its
// own catalog.
func (d *Daemon) Refuse(ctx context.Context, r *submission.Request) submission.Answer {
	return d.Submit(ctx, r)
}
