// Command second runs the cases of the second review that need scripts: it starts hosts
// as processes, with the platform, the upstreams and the callers as stand-ins. Its exit
// status is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds the time of a case.
const limit = 115 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// check runs a case and returns what broke the rule; empty if it held.
type check func(ctx context.Context, r *record, trouble bool) (broken string, err error)

var checks = map[string]check{"models": checkModels, "moves": checkMoves, "leaders": checkLeaders, "parts": checkParts, "paths": checkPaths}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || checks[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		return exitFailed
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with disruption: %v", os.Args[1], trouble)
	broken, err := checks[os.Args[1]](ctx, r, trouble)
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		r.add("rule broken: %s", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	r.add("rule held")
	fmt.Println("rule held")
	return exitHeld
}
