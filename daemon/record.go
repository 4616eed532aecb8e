package daemon

import (
	"context"
	"time"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// record stores the start record at the second in rank, if there is one.
func (d *Daemon) record(entry *submission.Entry, holder membership.Member) *verdict.Error {
	if holder.VM == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Network.PeerTimeout)
	defer cancel()
	d.metrics.records.Add(1)
	request := &wire.RecordRequest{Owner: d.settings.Network.VM, Records: []wire.StartRecord{
		{Caller: entry.ID.Caller, Key: entry.ID.Key, Digest: entry.Digest},
	}}
	var response wire.RecordResponse
	if err := d.peers.Call(ctx, holder.Address, request, &response); err != nil {
		return verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "record holder: %v", err).WithRetryAfter(time.Second)
	}
	if !response.Accepted {
		return verdict.Errorf(verdict.NotRun, verdict.CodeNotReady, "record holder: %s", response.Reason).WithRetryAfter(time.Second)
	}
	return nil
}

func (d *Daemon) handleRecord(_ context.Context, _ *wire.Hello, m *wire.RecordRequest) wire.Message {
	return &wire.RecordResponse{Accepted: true}
}
