package standin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/platform"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// platformServer serves a store over HTTP.
type platformServer struct {
	store *FaultyStore
	// ctx ends when the server stops. A request's own context is reused for
	// later requests, so that nothing may hold on to it.
	ctx context.Context
}

// RunPlatform serves the platform's key-value service and VM list until the
// context ends.
func RunPlatform(ctx context.Context, s settings.Standin) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	return ServePlatform(ctx, listener, platform.NewMemory())
}

// ServePlatform serves memory on a listener until the context ends.
func ServePlatform(ctx context.Context, listener net.Listener, memory *platform.Memory) error {
	return ServeStore(ctx, listener, NewFaultyStore(memory))
}

// ServeStore serves a store with fault switches on a listener until the
// context ends.
func ServeStore(ctx context.Context, listener net.Listener, store *FaultyStore) error {
	p := &platformServer{store, ctx}
	return serve(ctx, listener, p.handle)
}

func (p *platformServer) handle(c *fasthttp.RequestCtx) {
	args := c.QueryArgs()
	prefix := string(args.Peek("prefix"))
	switch string(c.Path()) {
	case "/v1/kv":
		response, err := p.store.Range(p.ctx, prefix)
		answer(c, response, err)
	case "/v1/kv/txn":
		var request api.TxnRequest
		if err := json.Unmarshal(c.PostBody(), &request); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		response, err := p.store.Txn(p.ctx, &request)
		answer(c, response, err)
	case "/v1/kv/watch":
		after := int64(args.GetUintOrZero("after"))
		wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
		response, err := p.store.Watch(p.ctx, prefix, after, wait)
		answer(c, response, err)
	case "/v1/vms":
		response, err := p.store.VMs(p.ctx, string(args.Peek("data_centre")), string(args.Peek("tag")))
		answer(c, response, err)
	case "/standin/vms":
		var vm api.VM
		if err := json.Unmarshal(c.PostBody(), &vm); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.store.PutVM(vm)
	case "/standin/faults":
		var faults api.PlatformFaults
		if err := json.Unmarshal(c.PostBody(), &faults); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.store.Set(faults)
	case "/standin/calls":
		writeJSON(c, fasthttp.StatusOK, p.store.Calls())
	default:
		c.Error("no such path", fasthttp.StatusNotFound)
	}
}

func answer(c *fasthttp.RequestCtx, value any, err error) {
	if err == nil {
		writeJSON(c, fasthttp.StatusOK, value)
		return
	}
	status := fasthttp.StatusServiceUnavailable
	if verdict.From(err).Code == verdict.CodeTooLarge {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	c.Error(err.Error(), status)
}

// RegisterVM puts a VM on the list of the platform stand-in at address. An
// empty address registers nowhere.
func RegisterVM(address string, vm api.VM) error {
	if address == "" {
		return nil
	}
	return errors.Wrapf(post(address, "/standin/vms", vm), "register %s", vm.Name)
}
