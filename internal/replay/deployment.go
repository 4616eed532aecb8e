package replay

import (
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/examples"
	"github.com/mustardstep/mustardstep/internal/api"
)

// Services of the two example deployments.
const (
	serviceRotaDesk = "rota-desk"
	serviceKitDesk  = "kit-desk"
)

// callKind describes one kind of call in generated traces.
type callKind struct {
	call string
	// share is the fraction of jobs that make this call.
	share float64
	// meanTasks is the mean number of tasks per job.
	meanTasks float64
	priority  catalog.Priority
}

// callKinds holds, by service, the calls that consist of several tasks.
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

// servicesFile returns the contents of services.yaml for a deployment.
func servicesFile(service string) []byte {
	if service == serviceKitDesk {
		return examples.KitDesk
	}
	return examples.RotaDesk
}

// isUrgent reports whether the call of a job has urgent priority.
func isUrgent(job *TraceJob) bool {
	for _, kind := range callKinds[job.Service] {
		if kind.call == job.Call {
			return kind.priority == catalog.Urgent
		}
	}
	return false
}

// callParameters returns the parameters of the call of a traced job.
func callParameters(job *TraceJob) map[string]any {
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
