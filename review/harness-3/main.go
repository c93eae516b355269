package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *World, trouble bool) bool{
	"leaving": caseLeaving,
	"inplace": caseInPlace,
	"origin":  caseOrigin,
	"unread":  caseUnread,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "review3 CASE FOLDER")
		os.Exit(2)
	}
	defer func() {
		if failure := recover(); failure != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", failure)
			os.Exit(2)
		}
	}()
	record := newRecord(filepath.Join(os.Args[2], "record.txt"))
	w := newWorld(record)
	held := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.End()
	if !held {
		os.Exit(1)
	}
}
