package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"quetzalhook/internal/entry/node"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/platform"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host until SIGINT or SIGTERM; requests in progress are finished first",
		Flags: setting.Flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, setting.FromCommand(cmd), cmd.String("log-level"))
		},
	}
}

func serve(ctx context.Context, settings setting.Settings, level string) error {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Errorf("--log-level %q is not debug, info, warn or error", level)
	}
	log.SetLevel(parsed)
	limitMemory(settings.Memory())
	n, err := node.New(settings, platform.NewStore(settings.Platform, log), log)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx := context.WithoutCancel(ctx)
	if settings.StopTimeout > 0 {
		var cancel context.CancelFunc
		stopCtx, cancel = context.WithTimeout(stopCtx, settings.StopTimeout)
		defer cancel()
	}
	return n.Stop(stopCtx)
}
