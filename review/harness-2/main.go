// Command cases plays the cases of the second review: the daemon of the deploy file as separate
// processes, on loopback addresses and the real clock, between stand-ins of the platform's store, of
// servers and of clients that follow the users' pages. It needs nothing but the standard library.
//
// Each case ends with status 0 if the rule held, 1 if it was broken and 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"time"
)

// cases are the cases by the number of their folder.
var cases = map[string]func(w *world) verdict{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: cases", strings.Join(names, "|"), "DAEMON RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// longest is how long a case may take.
const longest = 117 * time.Second

// run plays a case and returns its exit status.
func run(name, daemon, record string) (status int) {
	w, err := newWorld(daemon, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer w.end()
	time.AfterFunc(longest, func() {
		w.note("RESULT: could not run: it takes too long")
		w.end()
		os.Exit(couldNotRun)
	})
	defer func() {
		if failed := recover(); failed != nil {
			w.note("could not run: %v", failed)
			status = couldNotRun
		}
	}()
	result := cases[name](w)
	switch {
	case result.invalid != "":
		w.note("RESULT: could not run: %s", result.invalid)
		return couldNotRun
	case result.broken != "":
		w.note("RESULT: broken: %s", result.broken)
		return ruleBroken
	}
	w.note("RESULT: held: %s", result.held)
	return ruleHeld
}
