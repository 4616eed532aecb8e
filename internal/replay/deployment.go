package replay

import (
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/examples"
	"github.com/mustardstep/mustardstep/internal/api"
)

// Services of the two deployments.
const (
	serviceRotaDesk = "rota-desk"
	serviceKitDesk  = "kit-desk"
)

// callKind is a call of a generated trace.
type callKind struct {
	call string
	// share of the jobs.
	share float64
	// meanTasks of a job.
	meanTasks float64
	priority  catalog.Priority
}

// callKinds are the calls of each service that fan out.
var callKinds = map[string][]callKind{
	serviceRotaDesk: {
		{"heat-alert", 0.3, 6, catalog.Urgent},
		{"touch-up", 0.7, 10, catalog.Normal},
	},
	serviceKitDesk: {
		{"dispatch-booking", 0.4, 6, catalog.Urgent},
		{"batch-check", 0.6, 12, catalog.Batch},
	},
}

// servicesFile returns the operators' file of a deployment.
func servicesFile(service string) []byte {
	if service == serviceKitDesk {
		return examples.KitDesk
	}
	return examples.RotaDesk
}

// urgent tells whether a job's call is urgent.
func urgent(job *TraceJob) bool {
	for _, kind := range callKinds[job.Service] {
		if kind.call == job.Call {
			return kind.priority == catalog.Urgent
		}
	}
	return false
}

// parametersOf builds the body of a call from its traced tasks.
func parametersOf(job *TraceJob) map[string]any {
	items := make([]api.StandinTask, len(job.Tasks))
	for i, task := range job.Tasks {
		items[i].RunUS = task.RunUS
	}
	switch job.Call {
	case "heat-alert":
		return map[string]any{"gallery": "east", "figures": items}
	case "touch-up":
		return map[string]any{"figure": "queen", "steps": items}
	case "dispatch-booking":
		return map[string]any{"ward": "north", "kits": items}
	default:
		return map[string]any{"batches": items}
	}
}
