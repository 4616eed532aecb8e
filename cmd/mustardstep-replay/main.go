// Command mustardstep-replay runs traces against real daemons and prints what
// became of them. It starts the daemons and stand-ins as processes of its own.
package main

import "github.com/mustardstep/mustardstep/internal/command"

func main() {
	command.Main(
		command.Suite(), command.Capacity(), command.Demo(), command.Bench(), command.Generate(), command.Decide(), command.Soak(),
		// Suites run these in processes of their own.
		command.Serve("daemon"), command.Node(), command.StandinUpstreams(), command.StandinPlatform(),
	)
}
