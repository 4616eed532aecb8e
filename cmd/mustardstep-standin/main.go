// Command mustardstep-standin runs small stand-ins for the systems that
// mustardstep depends on: upstreams and the platform's store.
package main

import "github.com/mustardstep/mustardstep/internal/command"

func main() {
	command.Main(command.StandinUpstreams(), command.StandinPlatform())
}
