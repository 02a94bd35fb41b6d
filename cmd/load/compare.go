package main

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"quetzalhook/internal/bench/client"
)

// maxPrintedErrors limits the errors of failed requests that steady prints.
const maxPrintedErrors = 10

// requestFlags returns the flags of commands that send one repeated request to a
// host, followed by more.
func requestFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "host", Required: true, Usage: "`ADDRESS` of an entry host", Sources: cli.EnvVars("LOAD_HOST")},
		&cli.StringFlag{Name: "key", Required: true, Usage: "`KEY` of a customer", Sources: cli.EnvVars("LOAD_KEY")},
		&cli.StringFlag{Name: "model", Value: "rules-7b", Usage: "`MODEL` of the requests", Sources: cli.EnvVars("LOAD_MODEL")},
		&cli.StringFlag{Name: "class", Value: "permit-question", Usage: "`CLASS` of the requests", Sources: cli.EnvVars("LOAD_CLASS")},
		&cli.IntFlag{Name: "tokens", Value: 20, Usage: "`NUMBER` of tokens of each answer", Sources: cli.EnvVars("LOAD_TOKENS")},
	}, more...)
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "measure the latency that a host adds compared with direct requests to an engine",
		Flags: requestFlags(
			&cli.StringFlag{Name: "engine", Required: true, Usage: "`ADDRESS` of an engine", Sources: cli.EnvVars("LOAD_ENGINE")},
			&cli.IntFlag{Name: "requests", Value: 500, Usage: "`NUMBER` of pairs of requests", Sources: cli.EnvVars("LOAD_REQUESTS")},
		),
		Action: compare,
	}
}

func steadyCommand() *cli.Command {
	return &cli.Command{
		Name:  "steady",
		Usage: "send the same request to one host at a constant rate",
		Flags: requestFlags(
			&cli.FloatFlag{Name: "rate", Value: 30, Usage: "`NUMBER` of requests per second", Sources: cli.EnvVars("LOAD_RATE")},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long to send", Sources: cli.EnvVars("LOAD_DURATION")},
		),
		Action: steady,
	}
}

// steady sends requests at a constant rate and prints the latency quantiles.
func steady(ctx context.Context, cmd *cli.Command) error {
	times, failed := client.Comparison{
		Host: cmd.String("host"), Key: cmd.String("key"), Model: cmd.String("model"),
		Class: cmd.String("class"), Tokens: cmd.Int("tokens"),
	}.SendAtRate(ctx, cmd.Float("rate"), cmd.Duration("duration"))
	w := cmd.Root().Writer
	fmt.Fprintf(w, "served %d, failed %d\n", times.Total.TotalCount(), len(failed))
	for _, err := range failed[:min(len(failed), maxPrintedErrors)] {
		fmt.Fprintln(w, "failed:", err)
	}
	for _, q := range []float64{50, 99} {
		fmt.Fprintf(w, "p%.0f: first token %d µs, whole answer %d µs\n", q, times.FirstToken.ValueAtQuantile(q), times.Total.ValueAtQuantile(q))
	}
	return nil
}

// compare sends pairs of requests, one directly to the engine and one through the
// host, and prints the latency quantiles of both.
func compare(ctx context.Context, cmd *cli.Command) error {
	direct, routed, err := client.Comparison{
		Engine: cmd.String("engine"), Host: cmd.String("host"), Key: cmd.String("key"), Model: cmd.String("model"),
		Class: cmd.String("class"), Requests: cmd.Int("requests"), Tokens: cmd.Int("tokens"),
	}.Run(ctx)
	if err != nil {
		return err
	}
	w := cmd.Root().Writer
	row := func(name string, a, b *hdrhistogram.Histogram) {
		for _, q := range []float64{50, 99} {
			d, r := a.ValueAtQuantile(q), b.ValueAtQuantile(q)
			fmt.Fprintf(w, "%s p%.0f: direct %d µs, through the host %d µs, added %d µs\n", name, q, d, r, r-d)
		}
	}
	row("first token", direct.FirstToken, routed.FirstToken)
	row("whole answer", direct.Total, routed.Total)
	return nil
}
