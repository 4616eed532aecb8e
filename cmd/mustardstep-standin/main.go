// Command mustardstep-standin runs small stand-ins for the systems around
// mustardstep: upstreams and the platform's services.
package main

import "github.com/mustardstep/mustardstep/internal/command"

func main() {
	command.Main(command.StandinUpstreams(), command.StandinPlatform())
}
