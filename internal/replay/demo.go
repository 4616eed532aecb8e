package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/client"
)

// demoTimeout is the deadline of the demo call.
const demoTimeout = 10 * time.Second

// demoFigure is one figure of a heat-alert; each figure becomes a task.
type demoFigure struct {
	Name string `json:"name"`
	Room int    `json:"room"`
}

// demoAlert holds the parameters of a heat-alert.
type demoAlert struct {
	Gallery string       `json:"gallery"`
	Celsius float64      `json:"celsius"`
	Figures []demoFigure `json:"figures"`
}

var demoParameters = demoAlert{Gallery: "east", Celsius: 31.5, Figures: []demoFigure{
	{"queen", 1}, {"poet", 1}, {"pilot", 2}, {"cook", 3},
}}

// RunDemo starts a small complete system, makes one heat-alert call, prints the answer
// and stops the system. With keep, it prints example commands and waits for the context
// to end before it stops the system.
func RunDemo(ctx context.Context, w io.Writer, keep bool) error {
	dir, err := os.MkdirTemp("", "mustardstep-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := startCluster(ctx, Layout{
		DataCentres: []string{"casablanca", "rabat"}, VMs: 1, Upstreams: 4, Slots: 8,
		Speeds: []float64{1, 0.75, 0.5, 0.25}, Dir: dir,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "platform stand-in   %s\n", c.platformAddr)
	for i, address := range c.httpAddrs {
		fmt.Fprintf(w, "daemon in %-10s http://%s\n", c.layout.DataCentres[i], address)
	}
	for _, vm := range c.upstreams {
		fmt.Fprintf(w, "upstream            %s at %s\n", vm.Name, vm.Address)
	}
	err = sendDemoCall(ctx, w, c.httpAddrs)
	if err == nil && keep {
		printDemoCommands(w, c, dir)
		<-ctx.Done()
	}
	return errors.Join(err, c.stop())
}

// sendDemoCall makes one call with the client and prints the answer.
func sendDemoCall(ctx context.Context, w io.Writer, addresses []string) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	caller := client.New(client.Config{Addresses: addresses, Caller: "museum-01"})
	begin := time.Now()
	results, err := caller.Call(ctx, client.Request{
		Service: "rota-desk", Call: "heat-alert", Key: "demo-1", Parameters: demoParameters,
	})
	if err != nil {
		return errors.Wrap(err, "heat-alert")
	}
	fmt.Fprintf(w, "\nheat-alert for %d figures: complete after %v\n",
		len(demoParameters.Figures), time.Since(begin).Round(time.Millisecond))
	for i, result := range results {
		fmt.Fprintf(w, "  %-6s %s\n", demoParameters.Figures[i].Name, result)
	}
	return nil
}

// printDemoCommands prints example curl commands.
func printDemoCommands(w io.Writer, c *cluster, dir string) {
	body, err := json.Marshal(demoParameters)
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	url := "http://" + c.httpAddrs[0]
	fmt.Fprintf(w, "\nThe system runs until Ctrl-C; logs are in %s. Try:\n\n", dir)
	fmt.Fprintf(w, "curl -i -H 'Mustardstep-Caller: museum-01' -H 'Idempotency-Key: mine-1' -d '%s' %s/v1/services/rota-desk/calls/heat-alert\n\n", body, url)
	fmt.Fprintf(w, "curl -i -H 'Mustardstep-Caller: museum-01' -H 'Idempotency-Key: mine-2' -d '{\"from\":\"ana\",\"to\":\"rui\",\"shift\":\"mon\"}' %s/v1/services/rota-desk/calls/shift-swap\n\n", url)
	fmt.Fprintf(w, "curl %s/readyz; curl %s/debug/vars\n", url, url)
}
