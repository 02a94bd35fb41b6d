// Command slopes runs entry hosts in one process on loopback and prints the
// resource use of a host (processor, memory, network), idle and under load, for
// different sizes of the system.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalhook/internal/bench/slope"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure the resource use of a host for different sizes of the system",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{2, 8, 16}, Usage: "numbers of hosts, one run for each"},
			&cli.IntSliceFlag{Name: "upstreams", Value: []int{18}, Usage: "numbers of upstreams, one run for each"},
			&cli.IntSliceFlag{Name: "customers", Value: []int{10}, Usage: "numbers of customers, one run for each"},
			&cli.IntFlag{Name: "zones", Value: 2, Usage: "number of availability zones"},
			&cli.DurationFlag{Name: "settle", Value: 3 * time.Second, Usage: "time before the first measurement"},
			&cli.DurationFlag{Name: "window", Value: 8 * time.Second, Usage: "length of each measurement"},
			&cli.FloatFlag{Name: "rate", Value: 2, Usage: "requests/s to each host under load; 0 measures only idle hosts"},
			&cli.IntSliceFlag{Name: "tokens", Value: []int{20}, Usage: "tokens of each answer, one run for each value"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object per line instead of a table"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	for _, hosts := range cmd.IntSlice("hosts") {
		for _, upstreams := range cmd.IntSlice("upstreams") {
			for _, customers := range cmd.IntSlice("customers") {
				for _, tokens := range cmd.IntSlice("tokens") {
					err := measure(ctx, cmd, slope.Settings{Hosts: hosts, Upstreams: upstreams, Customers: customers, Tokens: tokens})
					if err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

// measure runs one size of the system and prints its rows.
func measure(ctx context.Context, cmd *cli.Command, s slope.Settings) error {
	s.Zones = min(cmd.Int("zones"), s.Hosts)
	s.Settle, s.Window, s.Rate = cmd.Duration("settle"), cmd.Duration("window"), cmd.Float("rate")
	rows, err := slope.Run(ctx, s)
	if err != nil {
		return err
	}
	return writeRows(cmd.Root().Writer, rows, cmd.Bool("json"))
}

// writeRows prints the rows of one run as a table, followed by the platform calls
// by kind, or as JSON.
func writeRows(w io.Writer, rows []slope.Row, asJSON bool) error {
	if asJSON {
		for _, r := range rows {
			if err := json.NewEncoder(w).Encode(r); err != nil {
				return errors.WithStack(err)
			}
		}
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "phase\thosts\tupstreams\tcustomers\ttokens\tcpu-%\theap-MB\tgoroutines\tmembers\tdatagrams/s\tB/s\tpolls/s\tchat/s\tfailed/s\tplatform-B/s\twatches")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.0f\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\t%.2f\t%.0f\t%.2f\n",
			r.Phase, r.Hosts, r.Upstreams, r.Customers, r.Tokens, r.CPU, r.Heap, r.Goroutines, r.Members, r.Datagrams, r.Bytes, r.Polls,
			r.Requests, r.Failed, r.PlatformBytes, r.Watches)
	}
	for _, r := range rows {
		for _, kind := range slices.Sorted(maps.Keys(r.PlatformCalls)) {
			if r.PlatformCalls[kind] > 0 {
				fmt.Fprintf(t, "%s\tplatform calls/s of one host\t%s\t%.3f\n", r.Phase, kind, r.PlatformCalls[kind])
			}
		}
	}
	return errors.WithStack(t.Flush())
}
