// Command rig plays the cases of the review: it starts the controllers as processes and stand-ins
// for the state service, the cloud, the workers and the users, and checks the rules.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(r *rig, trouble bool) (int, string){}

func main() {
	// Controllers are ended with the thread that started them, so that none outlives the rig.
	runtime.LockOSThread()
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	set, controllers := smallDeployment(), 3
	if os.Getenv("LIMITS") == "repechage" { // for the search only
		set.lease, set.cancel, set.writeRPS, set.valueKB, set.txnOps, set.cloudRPS, set.listLag = 44, 74, 20, 4, 8, 10, 10
	}
	if os.Getenv("CONTROLLERS") == "5" { // for the search only
		controllers = 5
	}
	r, err := newRig(root, rec, set, controllers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	finish := func(code int, text string) {
		rec.add("result: exit code %d: %s", code, text)
		fmt.Println(text)
		r.close(os.Getenv("KEEP") != "")
		if os.Getenv("KEEP") != "" {
			fmt.Println("logs in", r.folder)
		}
		os.Exit(code)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		finish(exitNotRun, "ended by a signal")
	}()
	time.AfterFunc(115*time.Second, func() { finish(exitNotRun, "the case took too long") })
	code, text := play(r, os.Getenv("TROUBLE") != "0")
	finish(code, text)
}
