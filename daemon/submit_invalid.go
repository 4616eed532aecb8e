package daemon

import (
	"context"

	"github.com/mustardstep/mustardstep/submission"
)

// SubmitInvalid implements httpfront.Backend. It answers a request that is invalid
// under the catalog of this VM. It routes the request like Submit, because only the
// owner knows whether the key was used before. If the key is new, the owner checks
// the request against its own catalog.
func (d *Daemon) SubmitInvalid(ctx context.Context, r *submission.Request) submission.Answer {
	return d.Submit(ctx, r)
}
