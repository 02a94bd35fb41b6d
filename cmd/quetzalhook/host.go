package main

import "C" // the platform runs only programs that are linked to the C library

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"quetzalhook/internal/entry/host"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/platform/intake"
	"quetzalhook/internal/platform/response"
	"quetzalhook/internal/state/eventlog"
	"quetzalhook/platform"
)

// hostCommand returns the command that runs an entry host whose settings the
// platform writes to a file.
func hostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "run an entry host on the users' platform until it receives SIGINT or SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "settings `FILE` of the host", Required: true,
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			&cli.StringFlag{
				Name: "peer-secret", Usage: "`SECRET` that hosts authenticate to each other with", Required: true,
				Sources: cli.EnvVars("QUETZALHOOK_PEER_SECRET"),
			},
			&cli.StringFlag{
				Name: "evacuate-ms", Usage: "`MS` within which no host may send requests to an evacuated zone; replaces the setting of this name, like the next four",
				Sources: cli.EnvVars("QUETZALHOOK_EVACUATE_MS"),
			},
			&cli.StringFlag{
				Name: "cold-over", Usage: "`FACTOR` of the rate of a cold upstream", Sources: cli.EnvVars("QUETZALHOOK_COLD_OVER"),
			},
			&cli.StringFlag{
				Name: "cold-slack", Usage: "`REQUESTS` beyond the rate of a cold upstream", Sources: cli.EnvVars("QUETZALHOOK_COLD_SLACK"),
			},
			&cli.StringFlag{
				Name: "max-fds", Usage: "`NUMBER` of file descriptors that the process may open", Sources: cli.EnvVars("QUETZALHOOK_MAX_FDS"),
			},
			&cli.StringFlag{
				Name: "contracts", Usage: "`LIST`, separated by commas, of the rules that the platform and its users have agreed on",
				Sources: cli.EnvVars("QUETZALHOOK_CONTRACTS"),
			},
			&cli.StringFlag{
				Name: "log-level", Value: "info", Usage: "`LEVEL`: debug, info, warn or error", Sources: cli.EnvVars("QUETZALHOOK_LOG_LEVEL"),
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runHost(ctx, cmd.String("settings"), cmd.String("peer-secret"), cmd.String("log-level"), setting.Override{
				EvacuateMS: cmd.String("evacuate-ms"), ColdOver: cmd.String("cold-over"), ColdSlack: cmd.String("cold-slack"),
				MaxFDs: cmd.String("max-fds"), Contracts: cmd.String("contracts"),
			})
		},
	}
}

func runHost(ctx context.Context, path, secret, level string, override setting.Override) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Errorf("--log-level %q is not debug, info, warn or error", level)
	}
	out := eventlog.New(os.Stdout)
	defer out.Close()
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	settings, err := setting.LoadHost(path)
	if err == nil {
		settings, err = override.Apply(settings)
	}
	if err != nil {
		return err
	}
	limitMemory(settings.Memory())
	invalid := new(response.Counts)
	fromPlatform := intake.NewBudget(settings.Memory(), intake.PlatformShare, intake.WithCounts(invalid))
	fromEngines := intake.NewBudget(settings.Memory(), intake.EngineShare, intake.WithCounts(invalid))
	store := platform.NewStore(settings.Store, log,
		platform.WithApplyBound(time.Duration(settings.ApplyMS)*time.Millisecond), platform.WithBudget(fromPlatform),
		platform.WithEvacuationBound(time.Duration(settings.EvacuateMS)*time.Millisecond))
	defer store.Close()
	h, err := host.New(settings, secret, host.Adapter{
		Store: store, Protocol: platform.Headers{}, RoutingSource: platform.RoutingSource(settings.Zones, settings.EvacuateMS > 0),
		Duties: platform.NewDutyClient(settings.Platform, settings.Host, fromPlatform),
		Caches: platform.NewCacheClient(fromEngines), Mover: platform.NewMover(fromEngines), Crashes: platform.NewCrashDetector(fromEngines),
		Directory: platform.DirectoryHandler, Ready: platform.ReadyHandler, InvalidResponses: invalid,
		ShortageRules: platform.HasShortageRules(settings.Contracts),
	}, log)
	if err != nil {
		return err
	}
	// SIGHUP is caught from before the start until after the stop: its default effect
	// would end the process with its open requests.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	if err := h.Start(ctx); err != nil {
		return err
	}
	reloadSettings(ctx, path, hangup, h, log)
	go logIgnored(hangup, log)
	return h.Stop(context.WithoutCancel(ctx))
}

// softMemoryShare is the share of a process's memory above which the garbage collector
// works harder. What lies beyond is not on its heap, such as the program itself.
const softMemoryShare = 0.7

// limitMemory makes the garbage collector keep the process below its memory in bytes; 0
// means that it is not known.
func limitMemory(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(memory)))
	}
}

// logIgnored logs signals that arrive while the host stops.
func logIgnored(signals <-chan os.Signal, log logrus.FieldLogger) {
	for s := range signals {
		log.WithField("signal", s).Info("signal ignored; the host is stopping")
	}
}

// settingsPollInterval is the time between two reads of the settings file, which
// may change without SIGHUP.
const settingsPollInterval = 2 * time.Second

// reloadSettings applies the settings file to h whenever its content has changed,
// until ctx ends. It reads the file at every settingsPollInterval and on a signal
// on hangup.
func reloadSettings(ctx context.Context, path string, hangup <-chan os.Signal, h *host.Host, log logrus.FieldLogger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(path) // an error is reported at the next read
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && bytes.Equal(data, last) {
			continue
		}
		var settings setting.Host
		if err == nil {
			settings, err = setting.LoadHost(path)
		}
		if err != nil {
			log.WithError(err).Warn("settings not read; keeping the previous ones")
			continue
		}
		last = data
		h.Reload(settings)
	}
}
