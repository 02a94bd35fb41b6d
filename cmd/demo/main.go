// Command demo runs the whole system in one process on loopback: six entry
// hosts in three availability zones, a simulated platform, 18 simulated engines
// and 3 simulated services, under both reference workloads and scripted faults.
// It prints the results and the invariant counters, and exits with status 1 on a
// violation.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"quetzalhook/internal/bench/scenario"
	"quetzalhook/internal/entry/setting"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system on loopback and print results and invariant counters",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random arrivals", Sources: cli.EnvVars("DEMO_SEED")},
			&cli.DurationFlag{
				Name: "duration", Value: 30 * time.Second, Usage: "time during which requests arrive",
				Sources: cli.EnvVars("DEMO_DURATION"),
			},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "factor applied to all request rates", Sources: cli.EnvVars("DEMO_SCALE")},
			&cli.StringFlag{
				Name: "policy", Value: setting.PolicyOwn, Usage: "own, or baseline: arrival order and round robin with the same limits",
				Sources: cli.EnvVars("DEMO_POLICY"),
			},
			&cli.StringSliceFlag{
				Name: "fault", Usage: "fault to inject, repeatable: " + strings.Join(scenario.Faults(), ", "),
				Sources: cli.EnvVars("DEMO_FAULTS"),
			},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object as the last line", Sources: cli.EnvVars("DEMO_JSON")},
			&cli.StringFlag{
				Name: "log-level", Value: "error", Usage: "log level of the run and the hosts, on standard error",
				Sources: cli.EnvVars("DEMO_LOG_LEVEL"),
			},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	log := logrus.New()
	level, err := logrus.ParseLevel(cmd.String("log-level"))
	if err != nil {
		return errors.WithStack(err)
	}
	log.SetLevel(level)
	result, err := scenario.Run(ctx, scenario.Settings{
		Seed: cmd.Uint64("seed"), Duration: cmd.Duration("duration"), Policy: cmd.String("policy"),
		Faults: cmd.StringSlice("fault"), Scale: cmd.Float("scale"), HostLog: log, Log: log,
	})
	if err != nil {
		return err
	}
	w := cmd.Root().Writer
	if err := result.Report.WriteTable(w); err != nil {
		return errors.WithStack(err)
	}
	writeDetails(w, result)
	if cmd.Bool("json") {
		if err := result.Report.WriteJSON(w); err != nil {
			return errors.WithStack(err)
		}
	}
	if n := result.Report.TotalViolations(); n > 0 {
		return errors.Errorf("%d violations of invariants", n)
	}
	return nil
}

// writeDetails prints the error responses by kind, the faults that did not go as
// scripted and the details of violations.
func writeDetails(w io.Writer, result scenario.Result) {
	kinds := make([]string, 0, len(result.Errors))
	for kind := range result.Errors {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		fmt.Fprintf(w, "error responses: %s: %d\n", kind, result.Errors[kind])
	}
	for _, f := range result.Failed {
		fmt.Fprintln(w, "fault not as scripted:", f)
	}
	for _, d := range result.Details {
		fmt.Fprintln(w, "violation:", d)
	}
}
