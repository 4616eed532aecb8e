//go:build review3

// Command harness-3 runs one case of the third review: it starts nodes as separate processes
// among stand-ins for the store, the runners and the clients, and checks what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// testCase runs one case in a system that has not started. It returns what broke the rule, if
// anything did. trouble is false if the disruption is to be left out.
type testCase func(s *system, program string, trouble bool) (broken []string, err error)

var cases = map[string]testCase{}

func main() {
	name := flag.String("case", "", "the case to run")
	record := flag.String("record", "record.txt", "the file that gets the record")
	program := flag.String("program", "target/mustardstepd", "the daemon")
	flag.Parse()
	os.Exit(run(*name, *record, *program, os.Getenv("TROUBLE") != "0"))
}

func run(name, record, program string, trouble bool) int {
	test := cases[name]
	if test == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec := newRecorder()
	s := newSystem(rec, dir)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.stop()
		os.Exit(exitNotRun)
	}()
	broken, err := test(s, program, trouble)
	ran := s.stop()
	code := exitHeld
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		code = exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.note("BROKEN: %s", b)
		}
		code = exitBroken
	case !ran:
		rec.note("the case could not run: a node ended by itself")
		code = exitNotRun
	default:
		rec.note("the rule held")
	}
	if err := rec.write(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	fmt.Printf("exit %d, %d findings\n", code, len(broken))
	return code
}
