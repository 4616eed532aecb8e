package capacity

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/examples"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/verdict"
)

// taskCounts are the numbers of tasks per job at which costs are measured.
var taskCounts = []int{1, 10, 40, 130}

// taskResult is the JSON result of each task.
const taskResult = `{"figure":"queen","state":"firm"}`

func heatAlertBody(tasks int) []byte {
	items := strings.TrimSuffix(strings.Repeat(`{"run_us":50000},`, tasks), ",")
	return fmt.Appendf(nil, `{"gallery":"east","figures":[%s]}`, items)
}

func frontBenchmarks(size Size) []benchmark {
	services, err := catalog.Parse(examples.RotaDesk)
	if err != nil {
		panic(err) // the file is embedded
	}
	call := services.Lookup("rota-desk", "heat-alert")
	target := float64(size.TasksPerJob)
	return []benchmark{
		{
			name: "front_call_time", role: "entry VM as front", driver: "tasks of the job", unit: "ns",
			sizes: taskCounts, target: target,
			measure: func(n int) float64 {
				body := heatAlertBody(n)
				return meanNanoseconds(200, func() { handleCall(call, body, n) })
			},
		},
		{
			name: "forward_bytes", role: "entry VM as front", driver: "tasks of the job", unit: "bytes",
			sizes: taskCounts, target: target,
			measure: func(n int) float64 { return float64(forwardBytes(n)) },
		},
	}
}

// handleCall expands a call and encodes its response, as package httpfront does between
// receiving and sending.
func handleCall(call *catalog.Call, body []byte, tasks int) {
	if _, failure := call.Expand(body, tasks); failure != nil {
		panic(failure)
	}
	results := make([]json.RawMessage, tasks)
	for i := range results {
		results[i] = json.RawMessage(taskResult)
	}
	if _, err := json.Marshal(api.CallResponse{Verdict: verdict.Complete, Key: "k", Results: results}); err != nil {
		panic(err)
	}
}

// forwardBytes returns the total size of a forwarded call and its response.
func forwardBytes(tasks int) int {
	request := wire.SubmitRequest{
		Caller: "museum-01", Key: "01JDZ7YQ8V5N3W2K4M6P8R0T2X", Service: "rota-desk", Call: "heat-alert", Parameters: heatAlertBody(tasks),
	}
	response := wire.SubmitResponse{Verdict: uint8(verdict.Complete), Owner: "vm0"}
	for range tasks {
		response.Results = append(response.Results, []byte(taskResult))
	}
	return encodedSize(&request, &response)
}
