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

// taskCounts are numbers of tasks of one job.
var taskCounts = []int{1, 10, 40, 130}

// result is the JSON value that a task returns in these measurements.
const result = `{"figure":"queen","state":"firm"}`

func alertBody(tasks int) []byte {
	items := strings.TrimSuffix(strings.Repeat(`{"run_us":50000},`, tasks), ",")
	return fmt.Appendf(nil, `{"gallery":"east","figures":[%s]}`, items)
}

func frontLines(size Size) []line {
	services, err := catalog.Parse(examples.RotaDesk)
	if err != nil {
		panic(err) // the file is embedded
	}
	call := services.Lookup("rota-desk", "heat-alert")
	target := float64(size.TasksPerJob)
	return []line{
		{
			name: "front_call_time", role: "entry VM as front", driver: "tasks of the job", unit: "ns",
			sizes: taskCounts, target: target,
			measure: func(n int) float64 {
				body := alertBody(n)
				return nanoseconds(200, func() { judgeAndAnswer(call, body, n) })
			},
		},
		{
			name: "forward_bytes", role: "entry VM as front", driver: "tasks of the job", unit: "bytes",
			sizes: taskCounts, target: target,
			measure: func(n int) float64 { return float64(forwardBytes(n)) },
		},
	}
}

// judgeAndAnswer does what the front does for a call, but for the network.
func judgeAndAnswer(call *catalog.Call, body []byte, tasks int) {
	if _, failure := call.Expand(body, tasks); failure != nil {
		panic(failure)
	}
	results := make([]json.RawMessage, tasks)
	for i := range results {
		results[i] = json.RawMessage(result)
	}
	if _, err := json.Marshal(api.CallResponse{Verdict: verdict.Complete, Key: "k", Results: results}); err != nil {
		panic(err)
	}
}

// forwardBytes returns the length of a forwarded call and of its answer.
func forwardBytes(tasks int) int {
	request := wire.SubmitRequest{
		Caller: "museum-01", Key: "01JDZ7YQ8V5N3W2K4M6P8R0T2X", Service: "rota-desk", Call: "heat-alert", Parameters: alertBody(tasks),
	}
	response := wire.SubmitResponse{Verdict: uint8(verdict.Complete), Owner: "vm0"}
	for range tasks {
		response.Results = append(response.Results, []byte(result))
	}
	return encodedBytes(&request, &response)
}
