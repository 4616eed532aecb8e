package platform

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
)

// eventLimit is the number of changes that a Memory keeps for watches.
const eventLimit = 10_000

// Memory is an in-memory Store and Directory. The zero value is not usable.
type Memory struct {
	mu        sync.Mutex // guards the fields below
	revision  int64
	entries   map[string]api.KeyValue
	events    []api.KeyValue
	compacted int64         // events up to this revision are dropped
	changed   chan struct{} // closed and replaced by every change
	vms       map[string]api.VM
}

// NewMemory returns an empty store and list.
func NewMemory() *Memory {
	return &Memory{
		entries: map[string]api.KeyValue{},
		vms:     map[string]api.VM{},
		changed: make(chan struct{}),
	}
}

// Range implements Store.
func (m *Memory) Range(_ context.Context, prefix string) (*api.RangeResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	response := &api.RangeResponse{Revision: m.revision, Entries: []api.KeyValue{}}
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) {
			response.Entries = append(response.Entries, entry)
		}
	}
	slices.SortFunc(response.Entries, func(a, b api.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return response, nil
}

// Txn implements Store.
func (m *Memory) Txn(_ context.Context, request *api.TxnRequest) (*api.TxnResponse, error) {
	for _, put := range request.Puts {
		if len(put.Value) > MaxValue {
			return nil, verdict.Errorf(verdict.NotRun, verdict.CodeTooLarge,
				"value of %s has %d bytes; the limit is %d", put.Key, len(put.Value), MaxValue)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range request.Compares {
		if m.entries[c.Key].ModRevision != c.ModRevision {
			return &api.TxnResponse{Revision: m.revision}, nil
		}
	}
	if len(request.Puts) > 0 {
		m.apply(request.Puts)
	}
	return &api.TxnResponse{Succeeded: true, Revision: m.revision}, nil
}

// apply writes the entries as one revision. The caller holds mu.
func (m *Memory) apply(puts []api.KeyValue) {
	m.revision++
	for _, put := range puts {
		put.ModRevision = m.revision
		if put.Deleted {
			delete(m.entries, put.Key)
		} else {
			m.entries[put.Key] = put
		}
		m.events = append(m.events, put)
	}
	if excess := len(m.events) - eventLimit; excess > 0 {
		m.compacted = m.events[excess-1].ModRevision
		m.events = slices.Delete(m.events, 0, excess)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (*api.WatchResponse, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		response, changed := m.eventsAfter(prefix, after)
		if response.Compacted || len(response.Events) > 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return response, nil
		case <-ctx.Done():
			return nil, verdict.Errorf(verdict.NotRun, verdict.CodeDeadline, "watch: %v", ctx.Err())
		}
	}
}

func (m *Memory) eventsAfter(prefix string, after int64) (*api.WatchResponse, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	response := &api.WatchResponse{Revision: m.revision, Compacted: after < m.compacted}
	for _, event := range m.events {
		if event.ModRevision > after && strings.HasPrefix(event.Key, prefix) {
			response.Events = append(response.Events, event)
		}
	}
	return response, m.changed
}

// Compact drops the events that watches could still ask for.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = nil
	m.compacted = m.revision
}

// VMs implements Directory.
func (m *Memory) VMs(_ context.Context, dataCentre, tag string) (*api.VMList, error) {
	list := &api.VMList{VMs: m.vmsOf(dataCentre)}
	digest := xxhash.New()
	for _, vm := range list.VMs {
		fmt.Fprintf(digest, "%+v", vm)
	}
	list.Tag = strconv.FormatUint(digest.Sum64(), 16)
	if list.Tag == tag {
		list.Unchanged, list.VMs = true, nil
	}
	return list, nil
}

// vmsOf returns the VMs of a data centre and every entry VM in order of name.
func (m *Memory) vmsOf(dataCentre string) []api.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var vms []api.VM
	for _, vm := range m.vms {
		if dataCentre == "" || vm.DataCentre == dataCentre || vm.Role == api.RoleEntry {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b api.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}

// PutVM adds or replaces a VM of the list.
func (m *Memory) PutVM(vm api.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms[vm.Name] = vm
}
