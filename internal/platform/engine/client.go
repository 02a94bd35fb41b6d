// Package engine is the HTTP client that orders model engines to load models.
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

// maxResponseBytes is the most bytes read of an engine's response.
const maxResponseBytes = 1 << 20

// Dialer provides the HTTP client and the base URL for an upstream.
type Dialer interface {
	Client(id quetzalhook.UpstreamID) (client *http.Client, base string, ok bool)
}

// Client calls the API of model engines. It implements quetzalhook.Engines.
type Client struct{ dialer Dialer }

// New returns a client that reaches engines through dialer.
func New(dialer Dialer) *Client { return &Client{dialer: dialer} }

// Order is the JSON form of an order to an engine.
type Order struct {
	ID        string `json:"id"`
	LoadModel string `json:"load-model"`
}

// modelList is the JSON form of an engine's list of loaded models.
type modelList struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

// orderList is the JSON form of the orders that an engine has received.
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
		return storeError("load", u, quetzalhook.StoreUnavailable, errors.New("upstream is not configured"))
	}
	body, err := json.Marshal(Order{ID: o.ID, LoadModel: string(o.Model)})
	if err != nil {
		return storeError("load", u, quetzalhook.StoreUnavailable, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/orders", bytes.NewReader(body))
	if err != nil {
		return storeError("load", u, quetzalhook.StoreUnavailable, err)
	}
	// Without GetBody, net/http never retries the order.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(provider.HeaderFencing, strconv.FormatUint(o.Fencing, 10))
	resp, err := client.Do(req)
	switch {
	case err != nil && !connected.Load():
		return storeError("load", u, quetzalhook.StoreUnavailable, err)
	case err != nil:
		return storeError("load", u, quetzalhook.StoreUnknown, err)
	}
	defer resp.Body.Close()
	return checkStatus("load", u, resp)
}

func (c *Client) read(ctx context.Context, u quetzalhook.UpstreamID, path string, result any) error {
	client, base, ok := c.dialer.Client(u)
	if !ok {
		return storeError("read", u, quetzalhook.StoreUnavailable, errors.New("upstream is not configured"))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return storeError("read", u, quetzalhook.StoreUnavailable, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return storeError("read", u, quetzalhook.StoreUnavailable, err)
	}
	defer resp.Body.Close()
	if err := checkStatus("read", u, resp); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result); err != nil {
		return storeError("read", u, quetzalhook.StoreUnavailable, err)
	}
	return nil
}

// checkStatus returns an error if the response has an error status. 409 rejects
// an old fencing token; after a 5xx status, the order may have taken effect.
func checkStatus(op string, u quetzalhook.UpstreamID, resp *http.Response) error {
	err := errors.New(resp.Status)
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return storeError(op, u, quetzalhook.StoreConflict, err)
	case resp.StatusCode < http.StatusInternalServerError:
		return storeError(op, u, quetzalhook.StoreUnavailable, err)
	}
	return storeError(op, u, quetzalhook.StoreUnknown, err)
}

func storeError(op string, u quetzalhook.UpstreamID, kind quetzalhook.StoreErrorKind, err error) error {
	return &quetzalhook.StoreError{Op: op, Key: string(u), Kind: kind, Err: err}
}
