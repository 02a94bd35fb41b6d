package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalhook/internal/entry/operator"
	"quetzalhook/internal/platform/response"
)

// commandTimeout limits the request that an operator's command sends to a host.
const commandTimeout = 30 * time.Second

// clientFlags returns the flags of commands that send a request to a host, followed
// by more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "server", Value: "127.0.0.1:8080", Usage: "`ADDRESS` of any host",
			Sources: cli.EnvVars("QUETZALHOOK_SERVER"),
		},
		&cli.StringFlag{
			Name: "operator-key", Usage: "operator `KEY`; better set by the environment variable",
			Sources: cli.EnvVars("QUETZALHOOK_OPERATOR_KEY"),
		},
		&cli.BoolFlag{
			Name: "tls", Usage: "use TLS for the connection to the host", Sources: cli.EnvVars("QUETZALHOOK_TLS"),
		},
	}, more...)
}

// callHost sends an operator's request to the host and decodes the JSON response
// into result, unless result is nil.
func callHost(ctx context.Context, cmd *cli.Command, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	scheme := "http"
	if cmd.Bool("tls") {
		scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+cmd.String("server")+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+cmd.String("operator-key"))
	client := &http.Client{Transport: response.NewTransport(http.DefaultTransport.(*http.Transport).Clone(), nil)}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "no response from the host; a change may have taken effect, check it with status")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read response of the host")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return responseError(resp.Status, data)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, result), "decode response of the host")
}

// responseError returns the error that an error response of a host describes, or
// its status and body if the body is not an ErrorBody.
func responseError(status string, data []byte) error {
	var body operator.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Kind == "" {
		return errors.Errorf("%s: %s", status, bytes.TrimSpace(data))
	}
	return errors.Errorf("%s: %s", body.Kind, body.Message)
}

// soleArgument returns the argument of a command that takes exactly one. name is its
// placeholder in the usage text.
func soleArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", errors.Errorf("command takes exactly one argument: %s", name)
	}
	return cmd.Args().First(), nil
}
