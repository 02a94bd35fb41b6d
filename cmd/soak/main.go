// Command soak runs entry hosts as separate processes on this machine, injects
// faults from outside the processes and checks what callers and upstreams observe.
// It prints one line for each seed. It exits with status 1 if a seed had
// violations, and keeps the hosts' logs of such a seed.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalhook/internal/bench/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "inject faults into hosts that run as processes, and check what callers and upstreams observe",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "target/quetzalhook", Usage: "`PATH` of the quetzalhook program", Sources: cli.EnvVars("SOAK_PROGRAM")},
			&cli.StringFlag{Name: "older", Usage: "`PATH` of the quetzalhook program of an older build", Sources: cli.EnvVars("SOAK_OLDER")},
			&cli.StringFlag{Name: "older-hosts", Value: string(soak.OlderHalf), Usage: "`WHICH` hosts run it: half (every second one), first (each in its first start)", Sources: cli.EnvVars("SOAK_OLDER_HOSTS")},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed; 0 uses the current Unix time", Sources: cli.EnvVars("SOAK_SEED")},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of consecutive seeds, run one after another", Sources: cli.EnvVars("SOAK_RUNS")},
			&cli.IntFlag{Name: "hosts", Value: 6, Usage: "number of hosts in a run", Sources: cli.EnvVars("SOAK_HOSTS")},
			&cli.IntFlag{Name: "callers", Value: 24, Usage: "number of callers in a run", Sources: cli.EnvVars("SOAK_CALLERS")},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "time during which faults are injected", Sources: cli.EnvVars("SOAK_LENGTH")},
			&cli.StringSliceFlag{Name: "kinds", Usage: "`KINDS` of faults to inject, each NAME or NAME/VARIANT; default: all", Sources: cli.EnvVars("SOAK_KINDS")},
			&cli.BoolFlag{Name: "builds", Usage: "engines of several builds, which change; callers take up streams", Sources: cli.EnvVars("SOAK_BUILDS")},
			&cli.IntFlag{Name: "zones", Value: 3, Usage: "number of availability zones", Sources: cli.EnvVars("SOAK_ZONES")},
			&cli.IntFlag{Name: "routes", Usage: "configurations move, add and remove routes, and have this `NUMBER` of further ones; 0 for none", Sources: cli.EnvVars("SOAK_ROUTES")},
			&cli.FloatFlag{Name: "link-mbps", Usage: "`RATE` in Mbit/s of the calls between hosts, for each host; 0 for no limit", Sources: cli.EnvVars("SOAK_LINK_MBPS")},
			&cli.StringFlag{Name: "regressions", Usage: "`FILE` with lines SEED HOSTS LENGTH [KINDS] to run instead; text after # is a comment", Sources: cli.EnvVars("SOAK_REGRESSIONS")},
			&cli.StringFlag{Name: "logs", Usage: "`DIRECTORY` for the logs of failed seeds; default: the temporary directory", Sources: cli.EnvVars("SOAK_LOGS")},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	list, err := plannedRuns(cmd)
	if err != nil {
		return err
	}
	failed := 0
	for _, s := range list {
		if ctx.Err() != nil {
			break
		}
		ok, err := runSeed(ctx, cmd.String("logs"), s)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds had violations", failed, len(list))
	}
	return nil
}

// plannedRuns returns the settings of each run: one for each line of the file in
// --regressions, or else one for each seed from --seed on.
func plannedRuns(cmd *cli.Command) ([]soak.Settings, error) {
	base := soak.Settings{Program: cmd.String("program"), Hosts: cmd.Int("hosts"), Callers: cmd.Int("callers"), Length: cmd.Duration("length"), Kinds: cmd.StringSlice("kinds"), Builds: cmd.Bool("builds"), Zones: cmd.Int("zones"), Routes: cmd.Int("routes"), LinkMbps: cmd.Float("link-mbps")}
	if base.Hosts < 1 || base.Callers < 1 || base.Length <= 0 {
		return nil, errors.Errorf("--hosts %d, --callers %d and --length %v must be positive", base.Hosts, base.Callers, base.Length)
	}
	if base.Older = cmd.String("older"); base.Older != "" {
		var err error
		if base.OlderHosts, err = soak.ParseOlderHosts(cmd.String("older-hosts")); err != nil {
			return nil, err
		}
	}
	var list []soak.Settings
	if path := cmd.String("regressions"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		for line := range strings.Lines(string(data)) {
			text, _, _ := strings.Cut(line, "#")
			if strings.TrimSpace(text) == "" {
				continue
			}
			s := base
			var length, kinds string
			if n, err := fmt.Sscan(text, &s.Seed, &s.Hosts, &length, &kinds); n < 3 {
				return nil, errors.Wrapf(err, "line %q of %s is not SEED HOSTS LENGTH [KINDS]", strings.TrimSpace(line), path)
			}
			if kinds != "" {
				s.Kinds = strings.Split(kinds, ",")
			}
			if s.Length, err = time.ParseDuration(length); err != nil {
				return nil, errors.Wrapf(err, "line %q of %s", strings.TrimSpace(line), path)
			}
			list = append(list, s)
		}
		return list, nil
	}
	seed := cmd.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().Unix())
	}
	for i := range cmd.Int("runs") {
		s := base
		s.Seed = seed + uint64(i)
		list = append(list, s)
	}
	return list, nil
}

// runSeed runs one seed, prints its result and reports whether it had no
// violations. It removes the logs of such a seed.
func runSeed(ctx context.Context, parent string, s soak.Settings) (bool, error) {
	if parent == "" {
		parent = os.TempDir()
	}
	s.Directory = filepath.Join(parent, fmt.Sprintf("soak-%d", s.Seed))
	if err := os.MkdirAll(s.Directory, 0o700); err != nil {
		return false, errors.WithStack(err)
	}
	r, err := soak.Run(ctx, s)
	if err != nil {
		return false, err
	}
	checks := 0
	for _, n := range r.Checked {
		checks += n
	}
	fmt.Printf("seed=%d hosts=%d length=%v faults=%d checks=%d violations=%d served-during-faults=%d/%d served-after-faults=%d/%d\n",
		s.Seed, s.Hosts, s.Length, len(r.Script), checks, len(r.Violations), r.ServedDuring, r.SentDuring, r.Served, r.Sent)
	if s.Builds {
		fmt.Printf("  take-ups=%d went-on=%d refused=%d given-up=%d\n", r.TakeUps.Sent, r.TakeUps.WentOn, r.TakeUps.Refused, r.TakeUps.GivenUp)
	}
	for _, p := range r.Partitions {
		fmt.Printf("  partition begin=%s length=%v hosts=%v served=%d/%d others=%d/%d\n",
			p.Begin.Format("15:04:05.000"), p.End.Sub(p.Begin).Round(time.Millisecond), p.Hosts, p.Served, p.Sent, p.OthersServed, p.Others)
	}
	if len(r.Violations) == 0 {
		return true, errors.WithStack(os.RemoveAll(s.Directory))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Failed)) {
		fmt.Printf("  %s failed %d of %d times\n", name, r.Failed[name], r.Checked[name])
	}
	for _, v := range r.Violations {
		fmt.Printf("  %s\n", v)
	}
	for _, f := range r.Script {
		fmt.Printf("  fault %s\n", f)
	}
	fmt.Printf("  logs: %s\n", s.Directory)
	return false, nil
}
