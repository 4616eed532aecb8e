// Command mustardstepd is the dispatcher daemon. It runs on every entry VM.
package main

import "github.com/mustardstep/mustardstep/internal/command"

func main() {
	command.Main(command.Serve("serve"), command.Node(), command.Check(), command.Version())
}
