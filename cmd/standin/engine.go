package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"quetzalhook/internal/standin/engine"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "simulate a model engine with continuous batching",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{
				Name: "slots", Value: 8, Usage: "requests in the batch at once",
				Sources: cli.EnvVars("STANDIN_SLOTS"),
			},
			&cli.FloatFlag{
				Name: "token-rate", Value: 100, Usage: "decode rate in tokens/s of a request that is alone in the batch",
				Sources: cli.EnvVars("STANDIN_TOKEN_RATE"),
			},
			&cli.FloatFlag{
				Name: "prefill-rate", Value: 20000, Usage: "prefill rate of the engine in prompt tokens/s",
				Sources: cli.EnvVars("STANDIN_PREFILL_RATE"),
			},
			&cli.FloatFlag{
				Name: "batch-slope", Value: 0.5, Usage: "fraction by which a decode step takes longer with a full batch than with one request",
				Sources: cli.EnvVars("STANDIN_BATCH_SLOPE"),
			},
			&cli.IntFlag{
				Name: "cache-tokens", Value: 1 << 17, Usage: "capacity of the prefix cache in tokens",
				Sources: cli.EnvVars("STANDIN_CACHE_TOKENS"),
			},
			&cli.BoolFlag{
				Name: "check-fencing", Usage: "refuse orders with an old fencing token",
				Sources: cli.EnvVars("STANDIN_CHECK_FENCING"),
			},
			&cli.StringSliceFlag{
				Name: "model", Usage: "model to serve, repeatable; default: any model",
				Sources: cli.EnvVars("STANDIN_MODELS"),
			},
			&cli.IntFlag{
				Name: "report-lag-ms", Usage: "minimum age of a load report in milliseconds",
				Sources: cli.EnvVars("STANDIN_REPORT_LAG_MS"),
			},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	opts := []engine.Option{
		engine.WithSlots(cmd.Int("slots")),
		engine.WithTokenRate(cmd.Float("token-rate")),
		engine.WithPrefillRate(cmd.Float("prefill-rate")),
		engine.WithBatchSlope(cmd.Float("batch-slope")),
		engine.WithCacheTokens(cmd.Int("cache-tokens")),
		engine.WithModels(cmd.StringSlice("model")...),
	}
	if cmd.Bool("check-fencing") {
		opts = append(opts, engine.WithFencing())
	}
	e := engine.New(opts...)
	if err := e.SetFaults(engine.Faults{ReportLagMS: int64(cmd.Int("report-lag-ms"))}); err != nil {
		return err
	}
	return serve(ctx, cmd, e)
}
