// Command trial simulates scheduling policies in virtual time and prints a table,
// and optionally JSON, that compares them. It exits with status 1 if an invariant
// was violated.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalhook/internal/bench/trial"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "trial",
		Usage: "compare policies in virtual time",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "workload", Usage: "association or foundry, repeatable; default: both"},
			&cli.StringSliceFlag{Name: "row", Usage: "conditions to run, repeatable; default: all"},
			&cli.StringSliceFlag{Name: "policy", Usage: "policies to run, repeatable; default: all"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load and of random choices"},
			&cli.IntFlag{Name: "hosts", Value: 6, Usage: "number of hosts"},
			&cli.IntFlag{Name: "engines", Value: 6, Usage: "number of engines in each of three zones"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "maximum number of concurrent runs"},
			&cli.DurationFlag{Name: "duration", Value: time.Minute, Usage: "virtual time during which requests arrive"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON array after the table"},
			&cli.BoolFlag{Name: "details", Usage: "print details of the first violations"},
		},
		Action: run,
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	results := runAll(jobs(cmd), cmd.Int("parallel"))
	if err := trial.WriteTable(os.Stdout, results); err != nil {
		return errors.Wrap(err, "write table")
	}
	var violations int64
	for _, r := range results {
		violations += r.Violations
		if cmd.Bool("details") {
			for _, d := range r.Details {
				fmt.Println(r.Workload, r.Row, r.Policy, d)
			}
		}
	}
	if cmd.Bool("json") {
		if err := json.NewEncoder(os.Stdout).Encode(results); err != nil {
			return errors.Wrap(err, "write JSON")
		}
	}
	if violations > 0 {
		return errors.Errorf("%d invariant violations", violations)
	}
	return nil
}

// jobs returns a function for each run that the flags select.
func jobs(cmd *cli.Command) []func() trial.Result {
	var list []func() trial.Result
	selected := func(flag, name string) bool {
		names := cmd.StringSlice(flag)
		return len(names) == 0 || slices.Contains(names, name)
	}
	for _, wl := range []trial.Workload{trial.Association(), trial.Foundry()} {
		for _, row := range trial.Rows() {
			for _, p := range trial.Policies() {
				if !selected("workload", wl.Name) || !selected("row", row.Name) || !selected("policy", p.Name) {
					continue
				}
				cfg := trial.Config{
					Workload: wl.Scaled(max(cmd.Int("engines"), 1)), Seed: cmd.Uint64("seed"), Hosts: cmd.Int("hosts"), Duration: cmd.Duration("duration"),
				}
				list = append(list, func() trial.Result { return trial.Run(cfg, row, p.Name, p.Build) })
			}
		}
	}
	return list
}

// runAll runs independent jobs, at most n at once, and returns their results in
// the order of list.
func runAll(list []func() trial.Result, n int) []trial.Result {
	results := make([]trial.Result, len(list))
	slots := make(chan struct{}, max(n, 1))
	var group sync.WaitGroup
	for i, job := range list {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			results[i] = job()
		})
	}
	group.Wait()
	return results
}
