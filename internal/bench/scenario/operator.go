package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"quetzalhook/internal/state/timing"

	"github.com/pkg/errors"

	"quetzalhook"
)

const operatorTimeout = 5 * time.Second

// operator is a client of the operator API.
type operator struct {
	client *http.Client
	key    string
}

// statusError is an error response of a host to an operator's request.
type statusError struct {
	status int
	body   string
}

// Error implements error.
func (e *statusError) Error() string {
	return http.StatusText(e.status) + ": " + e.body
}

// post sends body and decodes the response into result, unless result is nil.
func (o *operator) post(ctx context.Context, host, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	res, err := o.client.Do(req)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, path)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Wrap(&statusError{status: res.StatusCode, body: string(bytes.TrimSpace(b))}, path)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, result), path)
}

// plan submits a configuration and returns the ID of its plan.
func (o *operator) plan(ctx context.Context, host string, document []byte) (string, error) {
	var body struct {
		ID string `json:"id"`
	}
	err := o.post(ctx, host, "/operator/plans", document, &body)
	return body.ID, err
}

// confirm applies a plan and returns its configuration version.
func (o *operator) confirm(ctx context.Context, host, plan string) (int64, error) {
	var body struct {
		Version int64 `json:"version"`
	}
	err := o.post(ctx, host, "/operator/plans/"+plan+"/confirm", nil, &body)
	return body.Version, err
}

// issuedKey is a new key of a customer.
type issuedKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

func (o *operator) issue(ctx context.Context, host string, customer quetzalhook.CustomerID) (issuedKey, error) {
	var key issuedKey
	b, err := json.Marshal(map[string]any{"customer": customer})
	if err != nil {
		return key, errors.WithStack(err)
	}
	err = o.post(ctx, host, "/operator/keys", b, &key)
	return key, err
}

func (o *operator) withdraw(ctx context.Context, host, id string) error {
	return o.post(ctx, host, "/operator/keys/"+id+"/withdraw", nil, nil)
}

// retry calls f until it succeeds or ctx ends.
func retry(ctx context.Context, f func() error) error {
	const pause = 50 * time.Millisecond
	for {
		err := f()
		if err == nil {
			return nil
		}
		if !timing.Sleep(ctx, pause) {
			return err
		}
	}
}
