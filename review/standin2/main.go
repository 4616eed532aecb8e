// Command standin2 shows faults of the daemon on the platform with small stand-ins of the platform's
// store, its upstreams and its callers. It starts the daemon as separate processes on loopback
// addresses. The exit status is 1 if the rule of the case was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 in the environment it plays the case without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// cases are the cases by name. Each returns an error if it cannot run.
var cases = map[string]struct {
	rule    string
	staleBy time.Duration
	play    func(*world) error
}{
	"config": {"CONFIG", 3 * time.Second, playConfig},
	"crowd":  {"Fault", 500 * time.Millisecond, playCrowd},
	"reborn": {"ROUTE", 500 * time.Millisecond, playReborn},
}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return statusNotRun
	}
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		return statusNotRun
	}
	w, err := newWorld(os.Args[2], c.rule, c.staleBy)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer w.stop()
	failed := make(chan error, 1)
	go func() {
		defer func() {
			if value := recover(); value != nil {
				failed <- fmt.Errorf("panic: %v", value)
			}
		}()
		failed <- c.play(w)
	}()
	select {
	case err = <-failed:
	case <-time.After(limit):
		err = fmt.Errorf("the case takes longer than %v", limit)
	}
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	status = w.finish()
	fmt.Printf("exit status %d; the record is in %s\n", status, os.Args[2])
	return status
}
