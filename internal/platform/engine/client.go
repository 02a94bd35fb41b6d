// Package engine is the HTTP client for orders to model engines.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/platform/provider"
)

// maxBody bounds what is read of an engine's answer in bytes.
const maxBody = 1 << 20

// Dialer gives the HTTP client and the base URL of an upstream.
type Dialer interface {
	Client(id quetzalhook.UpstreamID) (client *http.Client, base string, ok bool)
}

// Client implements quetzalhook.Engines.
type Client struct{ dialer Dialer }

// New returns a client that reaches engines through dialer.
func New(dialer Dialer) *Client { return &Client{dialer: dialer} }

// Order is the JSON form of an order to an engine.
type Order struct {
	ID        string `json:"id"`
	LoadModel string `json:"load-model"`
}

type modelList struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

type orderList struct {
	Orders []struct {
		Accepted bool  `json:"accepted"`
		Body     Order `json:"body"`
	} `json:"orders"`
}

// Models implements quetzalhook.Engines.
func (c *Client) Models(ctx context.Context, u quetzalhook.UpstreamID) ([]quetzalhook.Model, error) {
	var list modelList
	if err := c.read(ctx, u, "/v1/models", &list); err != nil {
		return nil, err
	}
	models := make([]quetzalhook.Model, 0, len(list.Data))
	for _, m := range list.Data {
		models = append(models, quetzalhook.Model(m.ID))
	}
	return models, nil
}

// Orders implements quetzalhook.Engines.
func (c *Client) Orders(ctx context.Context, u quetzalhook.UpstreamID) ([]string, error) {
	var list orderList
	if err := c.read(ctx, u, "/orders", &list); err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(list.Orders))
	for _, o := range list.Orders {
		if o.Accepted {
			ids = append(ids, o.Body.ID)
		}
	}
	return ids, nil
}

// Load implements quetzalhook.Engines.
func (c *Client) Load(ctx context.Context, u quetzalhook.UpstreamID, o quetzalhook.ModelOrder) error {
	client, base, ok := c.dialer.Client(u)
	if !ok {
		return failure("load", u, quetzalhook.StoreUnavailable, errors.New("upstream is not configured"))
	}
	body, err := json.Marshal(Order{ID: o.ID, LoadModel: string(o.Model)})
	if err != nil {
		return failure("load", u, quetzalhook.StoreUnavailable, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/orders", bytes.NewReader(body))
	if err != nil {
		return failure("load", u, quetzalhook.StoreUnavailable, err)
	}
	// Without GetBody net/http never sends the order a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(provider.HeaderFencing, strconv.FormatUint(o.Fencing, 10))
	resp, err := client.Do(req)
	switch {
	case err != nil && !connected.Load():
		return failure("load", u, quetzalhook.StoreUnavailable, err)
	case err != nil:
		return failure("load", u, quetzalhook.StoreUnknown, err)
	}
	defer resp.Body.Close()
	return status("load", u, resp)
}

func (c *Client) read(ctx context.Context, u quetzalhook.UpstreamID, path string, into any) error {
	client, base, ok := c.dialer.Client(u)
	if !ok {
		return failure("read", u, quetzalhook.StoreUnavailable, errors.New("upstream is not configured"))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return failure("read", u, quetzalhook.StoreUnavailable, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return failure("read", u, quetzalhook.StoreUnavailable, err)
	}
	defer resp.Body.Close()
	if err := status("read", u, resp); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(into); err != nil {
		return failure("read", u, quetzalhook.StoreUnavailable, err)
	}
	return nil
}

// status turns an error status into an error. 409 refuses an old fencing
// number; after a status of the server's side the order may have taken effect.
func status(op string, u quetzalhook.UpstreamID, resp *http.Response) error {
	err := errors.New(resp.Status)
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return failure(op, u, quetzalhook.StoreConflict, err)
	case resp.StatusCode < http.StatusInternalServerError:
		return failure(op, u, quetzalhook.StoreUnavailable, err)
	}
	return failure(op, u, quetzalhook.StoreUnknown, err)
}

func failure(op string, u quetzalhook.UpstreamID, kind quetzalhook.StoreErrorKind, err error) error {
	return &quetzalhook.StoreError{Op: op, Key: string(u), Kind: kind, Err: err}
}
