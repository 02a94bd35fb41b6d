package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"quetzalhook/internal/entry/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show hosts, upstreams, queues and roles of the whole system",
		Flags: clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var s operator.Status
			if err := callHost(ctx, cmd, http.MethodGet, "/operator/status", nil, &s); err != nil {
				return err
			}
			return printStatus(cmd.Root().Writer, s)
		},
	}
}

// printStatus writes the status as one table for each kind of item.
func printStatus(out io.Writer, s operator.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "configuration version %d, as seen by %s\n\n", s.Version, s.Host)
	fmt.Fprintln(w, "HOST\tZONE\tADDRESS\tSTATE\tSILENT\tVERSION\tSTORE AGE\tFREE")
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d ms\t%d\t%d ms\t%.0f%%\n",
			h.Host, h.Zone, h.Address, h.State, h.SilentMS, h.Version, h.StoreAgeMS, 100*h.Free)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tKIND\tZONE\tSTATE\tCHEAP\tIN FLIGHT\tSLOTS")
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%d\n", u.ID, u.Kind, u.Zone, u.State, u.Cheap, u.InFlight, u.Slots)
	}
	fmt.Fprintln(w, "\nTIER\tWAITING TOKENS\tRUNNING TOKENS")
	for _, q := range s.Queues {
		fmt.Fprintf(w, "%d\t%.0f\t%.0f\n", q.Tier, q.Waiting, q.Running)
	}
	fmt.Fprintln(w, "\nROLE\tHOLDER\tFENCING\tOPEN INTENTS")
	for _, r := range s.Roles {
		fmt.Fprintf(w, "%s\t%s\t%d\t%v\n", r.Role, r.Holder, r.Fencing, r.Intents)
	}
	fmt.Fprintln(w, "\nINVARIANT\tCHECKED\tVIOLATED")
	for _, c := range s.Invariants {
		fmt.Fprintf(w, "%s\t%d\t%d\n", c.Name, c.Checked, c.Violated)
	}
	return w.Flush()
}
