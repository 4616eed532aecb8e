package client_test

import (
	"context"
	"fmt"
	"time"

	"github.com/mustardstep/mustardstep/client"
	"github.com/mustardstep/mustardstep/verdict"
)

func ExampleClient_Call() {
	c := client.New(client.Config{Addresses: []string{"10.0.0.1:8080", "10.0.0.2:8080"}, Caller: "museum-01"})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	results, err := c.Call(ctx, client.Request{
		Service: "rota-desk", Call: "touch-up", Key: "visit-4711",
		Parameters: map[string]any{"figure": "queen", "steps": []any{map[string]any{"part": "hand"}}},
	})
	if err != nil {
		switch verdict.From(err).Verdict {
		case verdict.NotRun:
			fmt.Println("nothing was booked; book again")
		case verdict.MayHaveRun:
			fmt.Println("ask again under the same key")
		case verdict.Ran:
			fmt.Println("it ran and failed:", err)
		}
		return
	}
	for _, result := range results {
		fmt.Println(string(result))
	}
}
