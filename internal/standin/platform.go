package standin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/internal/vmlist"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/store"
	"github.com/valyala/fasthttp"
)

// RunPlatform serves the platform's store until the context ends.
func RunPlatform(ctx context.Context, s settings.Standin) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	return ServeStore(ctx, listener, NewFaultyStore(store.NewMemory()))
}

// ServeStore serves a store, its faults and its call counter on a listener until the
// context ends.
func ServeStore(ctx context.Context, listener net.Listener, faulty *FaultyStore) error {
	storeHandler := platform.StoreHandler(ctx, faulty)
	return serve(ctx, listener, func(c *fasthttp.RequestCtx) {
		switch string(c.Path()) {
		case "/standin/faults":
			setPlatformFaults(c, faulty)
		case "/standin/calls":
			writeJSON(c, fasthttp.StatusOK, faulty.Calls())
		default:
			storeHandler(c)
		}
	})
}

func setPlatformFaults(c *fasthttp.RequestCtx, faulty *FaultyStore) {
	var faults api.PlatformFaults
	err := json.Unmarshal(c.PostBody(), &faults)
	if err == nil {
		err = faulty.SetFaults(faults)
	}
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// registerTimeout bounds the registration of a VM. It covers a store slowed by a fault.
const registerTimeout = 5 * time.Second

// RegisterVM writes the entry of a VM to the platform stand-in at address. It does
// nothing if the address is empty.
func RegisterVM(address string, vm api.VM) error {
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	return errors.Wrapf(vmlist.Put(ctx, platform.NewStore(address), vm), "register %s", vm.Name)
}
