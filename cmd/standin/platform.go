package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"quetzalhook"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/standin/cloud"
)

const shutdownTimeout = time.Second

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the platform's service: objects, watches, orders, usage reports",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{
				Name: "configuration", Usage: "configuration `FILE` whose upstreams the platform lists",
				Sources: cli.EnvVars("STANDIN_CONFIGURATION"),
			},
			&cli.BoolFlag{
				Name: "check-fencing", Usage: "refuse orders with an old fencing number",
				Sources: cli.EnvVars("STANDIN_CHECK_FENCING"),
			},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	upstreams, err := listedUpstreams(cmd.String("configuration"))
	if err != nil {
		return err
	}
	opts := []cloud.Option{cloud.WithUpstreams(upstreams)}
	if cmd.Bool("check-fencing") {
		opts = append(opts, cloud.WithFencingChecked())
	}
	return serve(ctx, cmd, &platform{server: &http.Server{
		Handler: cloud.New(opts...).Handler(), ReadHeaderTimeout: shutdownTimeout,
	}})
}

func listedUpstreams(file string) ([]quetzalhook.Upstream, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	doc, err := configuration.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return doc.UpstreamsFrom(""), nil
}

// platform serves a cloud on its own listener.
type platform struct{ server *http.Server }

func (p *platform) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = p.server.Serve(l) }()
	return l.Addr().String(), nil
}

func (p *platform) Close() error { return p.server.Close() }
