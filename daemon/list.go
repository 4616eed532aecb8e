package daemon

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// listFromPeers returns the list of VMs that another member of the data centre
// holds, or nil. A VM that starts while the platform is down serves by it.
func (d *Daemon) listFromPeers(ctx context.Context) *api.VMList {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Network.PeerTimeout)
	defer cancel()
	for _, m := range d.node.Members().Unended() {
		var response wire.ListResponse
		if err := d.peers.Call(ctx, m.Address, &wire.ListRequest{}, &response); err != nil || len(response.List) == 0 {
			continue
		}
		list := new(api.VMList)
		if err := json.Unmarshal(response.List, list); err != nil {
			d.log.Warn("list of a peer", slog.String("peer", m.VM), slog.Any("error", err))
			continue
		}
		d.log.Info("list taken from a peer", slog.String("peer", m.VM), slog.Int("vms", len(list.VMs)))
		return list
	}
	return nil
}

// handleList gives the list that this VM holds to a peer.
func (d *Daemon) handleList(context.Context, *wire.Hello, *wire.ListRequest) wire.Message {
	list := d.list.Load()
	if list == nil {
		return &wire.ListResponse{}
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		return &wire.ErrorResponse{Reason: err.Error()}
	}
	return &wire.ListResponse{List: encoded}
}
