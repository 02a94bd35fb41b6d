// Command load sends the reference workloads to entry hosts as an open-loop load
// generator and prints the results by class and customer. It also measures the
// latency that a host adds.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"quetzalhook"
	"quetzalhook/internal/bench/client"
	"quetzalhook/internal/bench/measure"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/state/invariant"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:     "load",
		Usage:    "send load to entry hosts and measure the results",
		Commands: []*cli.Command{runCommand(), compareCommand(), steadyCommand()},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send the reference workloads and print the results",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "host", Required: true, Usage: "address of an entry host that the list of hosts is read from, repeatable",
				Sources: cli.EnvVars("LOAD_HOSTS"),
			},
			&cli.StringFlag{
				Name: "keys", Required: true, Usage: "file with a line `CUSTOMER KEY` for each customer; * matches all others",
				Sources: cli.EnvVars("LOAD_KEYS"),
			},
			&cli.StringSliceFlag{
				Name: "workload", Usage: "association or foundry, repeatable; default: both",
				Sources: cli.EnvVars("LOAD_WORKLOADS"),
			},
			&cli.StringFlag{
				Name: "model", Usage: "model of the requests, in place of that of the workload",
				Sources: cli.EnvVars("LOAD_MODEL"),
			},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random arrivals", Sources: cli.EnvVars("LOAD_SEED")},
			&cli.DurationFlag{
				Name: "duration", Value: 30 * time.Second, Usage: "time during which requests are sent",
				Sources: cli.EnvVars("LOAD_DURATION"),
			},
			&cli.DurationFlag{
				Name: "drain", Value: time.Minute, Usage: "maximum wait for open requests after --duration",
				Sources: cli.EnvVars("LOAD_DRAIN"),
			},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "factor applied to all request rates", Sources: cli.EnvVars("LOAD_SCALE")},
			&cli.FloatFlag{
				Name: "slow-share", Usage: "fraction of streams that are read slowly",
				Sources: cli.EnvVars("LOAD_SLOW_SHARE"),
			},
			&cli.FloatFlag{
				Name: "abandon-share", Usage: "fraction of streams whose caller disconnects early",
				Sources: cli.EnvVars("LOAD_ABANDON_SHARE"),
			},
			&cli.StringSliceFlag{
				Name: "records", Usage: "address of a simulated engine or service whose records are checked after the run, repeatable",
				Sources: cli.EnvVars("LOAD_RECORDS"),
			},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object as the last line", Sources: cli.EnvVars("LOAD_JSON")},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	keys, err := readKeys(cmd.String("keys"))
	if err != nil {
		return err
	}
	checks := invariant.New(logrus.StandardLogger())
	c := client.New(client.Settings{
		Hosts: cmd.StringSlice("host"), Keys: keys,
		Region:    func(a workload.Arrival) string { return string(a.Region) },
		SlowShare: cmd.Float("slow-share"), AbandonShare: cmd.Float("abandon-share"),
		Invariants: checks, Collector: measure.New(),
	})
	defer func() { _ = c.Close() }()
	arrivals := arrivals(cmd)
	runCtx, cancel := context.WithTimeout(ctx, cmd.Duration("duration")+cmd.Duration("drain"))
	defer cancel()
	c.Run(runCtx, arrivals)
	report := c.Report()
	if addresses := cmd.StringSlice("records"); len(addresses) > 0 {
		records, err := fetchRecords(ctx, addresses)
		if err != nil {
			return err
		}
		c.Verify(records, &report)
	}
	report.AddCounts(checks.Counts())
	return printReport(cmd, report)
}

// arrivals generates the arrivals of the selected workloads.
func arrivals(cmd *cli.Command) []workload.Arrival {
	var chosen []workload.Workload
	names := cmd.StringSlice("workload")
	for _, w := range workload.All() {
		if len(names) > 0 && !slices.Contains(names, w.Name) {
			continue
		}
		if m := cmd.String("model"); m != "" {
			w.Model = quetzalhook.Model(m)
		}
		chosen = append(chosen, w)
	}
	return workload.Generate(cmd.Uint64("seed"), cmd.Duration("duration"), cmd.Float("scale"), chosen...)
}

// printReport prints the results and returns an error if an invariant was
// violated.
func printReport(cmd *cli.Command, report measure.Report) error {
	w := cmd.Root().Writer
	if err := report.WriteTable(w); err != nil {
		return errors.WithStack(err)
	}
	if cmd.Bool("json") {
		if err := report.WriteJSON(w); err != nil {
			return errors.WithStack(err)
		}
	}
	if n := report.TotalViolations(); n > 0 {
		return errors.Errorf("%d violations of invariants", n)
	}
	return nil
}

// readKeys reads a file with a customer and its key on each line, and returns a
// function that looks up the key of a customer, or that of * for one not listed.
func readKeys(path string) (func(quetzalhook.CustomerID) string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	keys := make(map[string]string)
	for i, line := range strings.Split(string(b), "\n") {
		fields := strings.Fields(line)
		switch len(fields) {
		case 0:
		case 2:
			keys[fields[0]] = fields[1]
		default:
			return nil, errors.Errorf("%s:%d: line is not CUSTOMER KEY", path, i+1)
		}
	}
	return func(c quetzalhook.CustomerID) string {
		if k, ok := keys[string(c)]; ok {
			return k
		}
		return keys["*"]
	}, nil
}

// fetchRecords reads and merges the records of the simulated engines and services
// at addresses.
func fetchRecords(ctx context.Context, addresses []string) (client.Records, error) {
	var all client.Records
	for _, address := range addresses {
		var one client.Records
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/records", http.NoBody)
		if err != nil {
			return all, errors.WithStack(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return all, errors.Wrap(err, "records")
		}
		err = json.NewDecoder(res.Body).Decode(&one)
		_ = res.Body.Close()
		if err != nil {
			return all, errors.Wrapf(err, "records of %s", address)
		}
		all.Merge(one)
	}
	return all, nil
}
