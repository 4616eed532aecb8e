// Command mustardstep-replay runs suites, benchmarks and soaks against real
// daemons and prints their reports. It starts the daemons and the stand-ins for
// upstreams and the platform as child processes.
package main

import "github.com/mustardstep/mustardstep/internal/command"

func main() {
	command.Main(
		command.Suite(), command.Capacity(), command.Demo(), command.Bench(), command.Generate(), command.Decide(), command.Soak(),
		// The commands above run these as child processes.
		command.Serve("daemon"), command.Node(), command.StandinUpstreams(), command.StandinPlatform(),
	)
}
