// Command mustardctl is the operators' command-line client.
package main

import "github.com/mustardstep/mustardstep/internal/command"

func main() {
	command.Main(append(command.CtlCommands(), command.Version())...)
}
