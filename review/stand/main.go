//go:build review

// Command stand plays the script cases of the review: it starts entries as processes of their own before small stand-ins of
// the platform, plays the case, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	argCount = 3
)

// cases are the cases by name. With trouble false they play without the disruption.
var cases = map[string]func(out *record, trouble bool) (int, error){
	"leaving-callers": leavingCallers,
	"long-requests":   longRequests,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != argCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER, in the repository's root")
		return notRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	out := &record{file: file, start: time.Now()}
	code, err := cases[os.Args[1]](out, os.Getenv("TROUBLE") != "0")
	if err != nil {
		out.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken"}[code]
	out.line("%s", verdict)
	fmt.Println(verdict)
	return code
}
