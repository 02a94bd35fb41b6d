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

const readHeaderTimeout = time.Second

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "simulate the platform: objects, watches, orders and usage reports",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{
				Name: "configuration", Usage: "configuration `FILE` whose upstreams the platform lists",
				Sources: cli.EnvVars("STANDIN_CONFIGURATION"),
			},
			&cli.BoolFlag{
				Name: "check-fencing", Usage: "refuse orders with an old fencing token",
				Sources: cli.EnvVars("STANDIN_CHECK_FENCING"),
			},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	upstreams, err := readUpstreams(cmd.String("configuration"))
	if err != nil {
		return err
	}
	opts := []cloud.Option{cloud.WithUpstreams(upstreams)}
	if cmd.Bool("check-fencing") {
		opts = append(opts, cloud.WithFencing())
	}
	return serve(ctx, cmd, &platformServer{server: &http.Server{
		Handler: cloud.New(opts...).Handler(), ReadHeaderTimeout: readHeaderTimeout,
	}})
}

// readUpstreams returns the upstreams of a configuration file, or none without a
// file.
func readUpstreams(file string) ([]quetzalhook.Upstream, error) {
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

// platformServer serves the handler of a cloud.Cloud, which has no listener of its
// own.
type platformServer struct{ server *http.Server }

func (p *platformServer) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = p.server.Serve(l) }()
	return l.Addr().String(), nil
}

func (p *platformServer) Close() error { return p.server.Close() }
