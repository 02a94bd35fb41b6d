package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalhook"
	"quetzalhook/internal/record/lint"
	"quetzalhook/platform"
)

// Exit codes of check-routing, as linters have them.
const (
	exitFindings = 1
	exitUsage    = 2 // also for an unreadable file
)

// checkRoutingCommand returns the command that checks a configuration of the platform. It
// is separate from check, which reads the product's own format and has none of its flags.
func checkRoutingCommand() *cli.Command {
	return &cli.Command{
		Name: "check-routing", Usage: "check the users' platform's routing configuration (JSON) without contacting a host", ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "`FILE` with the version in force, to list the differences from"},
			&cli.StringSliceFlag{Name: "region", Usage: "`NAME` of a region that exists, repeatable; without any, names of regions are not checked"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "`FORMAT` of the output: text or json"},
			&cli.BoolFlag{Name: "strict", Usage: "exit with 1 for warnings, too"},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError(err) },
		Action: func(_ context.Context, cmd *cli.Command) error {
			report, err := checkRouting(cmd)
			if err != nil {
				return usageError(err)
			}
			if err := printReport(cmd.Root().Writer, cmd.String("format"), report); err != nil {
				return usageError(err)
			}
			if report.Count(lint.LevelError) > 0 || cmd.Bool("strict") && len(report.Findings) > 0 {
				return cli.Exit("", exitFindings)
			}
			return nil
		},
	}
}

func usageError(err error) error { return cli.Exit("quetzalhook: "+err.Error(), exitUsage) }

// checkRouting reads the files that a command names and checks the first.
func checkRouting(cmd *cli.Command) (*platform.CheckReport, error) {
	if f := cmd.String("format"); f != "text" && f != "json" {
		return nil, errors.Errorf("--format %q is not text or json", f)
	}
	data, err := readFile(cmd)
	if err != nil {
		return nil, err
	}
	var inForce []byte
	if name := cmd.String("against"); name != "" {
		if strings.HasPrefix(name, "http://") || strings.HasPrefix(name, "https://") {
			return nil, errors.New("--against takes a file: hosts do not serve their routing table")
		}
		if inForce, err = os.ReadFile(name); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	var known []quetzalhook.Region
	for _, r := range cmd.StringSlice("region") {
		known = append(known, quetzalhook.Region(r))
	}
	return platform.CheckTable(data, inForce, known)
}

// printReport writes a report as JSON, or with one line for each finding and change.
func printReport(w io.Writer, format string, r *platform.CheckReport) error {
	if format == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return errors.WithStack(enc.Encode(r))
	}
	var out strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&out, "line %d: %s: %s: %s\n", f.Line, f.Path, f.Level, f.Cause)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&out, "%s %s", c.Kind, c.Section)
		if c.Name != "" {
			fmt.Fprintf(&out, " %q", c.Name)
		}
		fmt.Fprintln(&out)
		for _, f := range c.Fields {
			fmt.Fprintf(&out, "    %s: %s -> %s\n", f.Field, f.Old, f.New)
		}
	}
	fmt.Fprintf(&out, "errors: %d, warnings: %d, changes: %d\n", r.Count(lint.LevelError), r.Count(lint.LevelWarning), len(r.Changes))
	_, err := io.WriteString(w, out.String())
	return errors.WithStack(err)
}
