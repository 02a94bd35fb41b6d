package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"quetzalhook/internal/standin/service"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "simulate a service whose calls must not be repeated",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{
				Name: "order-field", Value: "order-id", Usage: "body field that identifies an order",
				Sources: cli.EnvVars("STANDIN_ORDER_FIELD"),
			},
			&cli.IntFlag{
				Name: "delay-ms", Usage: "delay of every call before its execution, in milliseconds",
				Sources: cli.EnvVars("STANDIN_DELAY_MS"),
			},
		},
		Action: runService,
	}
}

func runService(ctx context.Context, cmd *cli.Command) error {
	s := service.New(service.WithOrderField(cmd.String("order-field")))
	if err := s.SetFaults(service.Faults{DelayMS: int64(cmd.Int("delay-ms"))}); err != nil {
		return err
	}
	return serve(ctx, cmd, s)
}
