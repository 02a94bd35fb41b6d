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
)

// commandTimeout bounds an operator's command.
const commandTimeout = 30 * time.Second

func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "server", Value: "127.0.0.1:8080", Usage: "`ADDRESS` of any host",
			Sources: cli.EnvVars("QUETZALHOOK_SERVER"),
		},
		&cli.StringFlag{
			Name: "operator-key", Usage: "`KEY` of operators; better set by environment",
			Sources: cli.EnvVars("QUETZALHOOK_OPERATOR_KEY"),
		},
		&cli.BoolFlag{
			Name: "tls", Usage: "use TLS towards the host", Sources: cli.EnvVars("QUETZALHOOK_TLS"),
		},
	}, more...)
}

// call sends an operator's request and decodes the answer into result, unless
// that is nil.
func call(ctx context.Context, cmd *cli.Command, method, path string, body []byte, result any) error {
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
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "no answer from the host; a change may have taken effect, see status")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "answer of the host")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return failure(resp.Status, data)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, result), "answer of the host")
}

func failure(status string, data []byte) error {
	var body operator.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Kind == "" {
		return errors.Errorf("%s: %s", status, bytes.TrimSpace(data))
	}
	return errors.Errorf("%s: %s", body.Kind, body.Message)
}

// argument returns a command's only argument.
func argument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", errors.Errorf("exactly one argument is wanted: %s", name)
	}
	return cmd.Args().First(), nil
}
