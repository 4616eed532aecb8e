// Command review plays the scripts of the review: it starts the project's daemon as
// separate processes, with stand-ins for the platform, its servers and its clients,
// and checks one rule of the users' pages.
//
// It exits with 0 if the rule held, with 1 if it was broken and with 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// scenario plays a case. trouble tells whether to cause the disruption.
type scenario func(log *record, program string, trouble bool) error

var scenarios = map[string]scenario{
	"cancelled": playCancelled,
	"cut":       playCut,
	"drained":   playDrained,
	"freeze":    playFreeze,
	"press":     playPress,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD PROGRAM")
		return 2
	}
	program, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	log := newRecord()
	err = scenarios[os.Args[1]](log, program, os.Getenv("TROUBLE") != "0")
	if saveErr := log.save(os.Args[2]); err == nil {
		err = saveErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	fmt.Printf("%d starts, %d breaches\n", log.starts, len(log.broken))
	for i, text := range log.broken {
		if i == 5 {
			break
		}
		fmt.Println(text)
	}
	if len(log.broken) > 0 {
		return 1
	}
	return 0
}
