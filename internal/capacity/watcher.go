package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
)

// listBytes returns the length of the platform's list of a number of VMs.
func listBytes(vms int) int {
	list := api.VMList{Tag: "0123456789abcdef"}
	for i := range vms {
		list.VMs = append(list.VMs, api.VM{
			Name: fmt.Sprintf("worker-%05d", i), Role: api.RoleUpstream, DataCentre: "casablanca", Rack: fmt.Sprintf("rack-%03d", i/8),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), State: api.VMLive, Service: service, Slots: slots,
			MilliCPU: 64_000, MemoryMB: 128_000, Accelerators: 1,
		})
	}
	return jsonBytes(list)
}

func jsonBytes(value any) int {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are built here
	}
	return len(encoded)
}

// eventBytes returns the length of a watch's answer with a number of changes.
func eventBytes(changes int) int {
	response := api.WatchResponse{Revision: 1 << 30}
	for _, e := range entriesOf(changes) {
		response.Events = append(response.Events, api.KeyValue{
			Key: "mustardstep/configuration/" + configuration.PrefixQuotas + e.Key, Value: []byte(e.Value), ModRevision: 1 << 30,
		})
	}
	return jsonBytes(response)
}

func watcherLines(size Size) []line {
	return []line{
		{
			name: "list_bytes", role: "every entry VM", driver: "VMs of the data centre", unit: "bytes",
			sizes: []int{50, 250, 1000, 4000}, target: size.UpstreamsPerDataCentre() + size.VMs(),
			measure: func(n int) float64 { return float64(listBytes(n)) },
		},
		{
			name: "watch_bytes", role: "watcher of a data centre", driver: "changes", unit: "bytes",
			sizes: []int{1, 10, 100}, target: float64(size.ConfigChangesPerDay),
			measure: func(n int) float64 { return float64(eventBytes(n)) },
		},
	}
}
