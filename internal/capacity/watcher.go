package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/vmlist"
	"github.com/mustardstep/mustardstep/store"
)

// upstreamListBytes returns the size of the list of upstreams that a dispatcher
// reads from the platform's store.
func upstreamListBytes(upstreams int) int {
	items := make([]store.Item, upstreams)
	for i := range items {
		name := fmt.Sprintf("worker-%05d", i)
		value := jsonSize(api.VM{
			Name: name, Role: api.RoleUpstream, DataCentre: "casablanca", Rack: fmt.Sprintf("rack-%03d", i/8),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), State: api.VMLive, Service: service, Slots: slots,
			MilliCPU: 64_000, MemoryMB: 128_000, Accelerators: 1,
		})
		items[i] = store.Item{Key: vmlist.UpstreamPrefix + name, Value: make([]byte, value), Revision: 1 << 30}
	}
	return jsonSize(items)
}

func jsonSize(value any) int {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are always encodable
	}
	return len(encoded)
}

// watchResponseBytes returns the size of a watch response with a number of
// changes.
func watchResponseBytes(changes int) int {
	var events []store.Event
	for _, e := range quotaEntries(changes) {
		value := jsonSize(api.StoredEntry{Value: e.Value, Revision: e.Revision})
		events = append(events, store.Event{Item: store.Item{
			Key: "mustardstep/state/entries/" + e.Key, Value: make([]byte, value), Revision: 1 << 30,
		}})
	}
	return jsonSize(events)
}

func watcherBenchmarks(size Size) []benchmark {
	return []benchmark{
		{
			name: "list_bytes", role: "dispatcher", driver: "upstreams of the data centre", unit: "bytes",
			sizes: []int{50, 250, 1000, 4000}, target: size.UpstreamsPerDataCentre(),
			measure: func(n int) float64 { return float64(upstreamListBytes(n)) },
		},
		{
			name: "watch_bytes", role: "watcher of a data centre", driver: "changes", unit: "bytes",
			sizes: []int{1, 10, 100}, target: float64(size.ConfigChangesPerDay),
			measure: func(n int) float64 { return float64(watchResponseBytes(n)) },
		},
	}
}
