package daemon

import (
	"context"

	"github.com/mustardstep/mustardstep/submission"
)

// Refuse implements httpfront.Backend. It answers a request that is invalid under
// the catalog of this VM. It routes the request like Submit, because only the owner
// knows whether the key was used before. If it was not, the owner checks the request
// against its own catalog.
func (d *Daemon) Refuse(ctx context.Context, r *submission.Request) submission.Answer {
	return d.Submit(ctx, r)
}
