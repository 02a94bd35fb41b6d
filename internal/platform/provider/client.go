// Package provider is the HTTP client of the interface through which the
// product's own entry host orders upstreams, reports usage and learns of other
// hosts. Objects are kept in a quetzalhook.Store.
//
// A failed change is StoreUnavailable only if the request provably did not
// reach the platform or the platform refused it; every other failure is
// StoreUnknown, and the caller reads again to learn what happened.
package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

const (
	// callTimeout bounds one call. The platform answers in milliseconds.
	callTimeout = 2 * time.Second
	// idleTimeout bounds how long an idle connection may be reused, since the
	// network may have forgotten it.
	idleTimeout = 5 * time.Second
)

// Client implements quetzalhook.Provisioner, UsageSink and HostLister. It is
// safe for concurrent use.
type Client struct {
	base string
	http *http.Client

	closed context.Context // ends at Close
	close  context.CancelFunc

	reads, writes atomic.Int64
}

// New returns a client of the platform at address, a host:port.
func New(address string) *Client {
	c := &Client{base: "http://" + address}
	c.closed, c.close = context.WithCancel(context.Background())
	c.http = &http.Client{Transport: &http.Transport{
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 16,
	}}
	return c
}

// Close cancels calls in progress, whose changes then have an unknown
// outcome, and makes every later call fail without being sent.
func (c *Client) Close() error {
	c.close()
	c.http.CloseIdleConnections()
	return nil
}

// Calls returns the number of calls made so far.
func (c *Client) Calls() (reads, writes int64) { return c.reads.Load(), c.writes.Load() }

// Order implements quetzalhook.Provisioner.
func (c *Client) Order(ctx context.Context, o quetzalhook.UpstreamOrder) error {
	body, err := json.Marshal(OrderItem{ID: o.ID, Zone: string(o.Zone), Cheap: o.Cheap, Count: o.Count})
	if err != nil {
		return errors.WithStack(err)
	}
	return c.write(ctx, call{op: "order", method: http.MethodPost, key: o.ID, path: PathOrders, body: body, fencing: o.Fencing})
}

// Upstreams implements quetzalhook.Provisioner. Only identifier, zone, price
// kind and state are set.
func (c *Client) Upstreams(ctx context.Context) ([]quetzalhook.Upstream, error) {
	var items UpstreamsItem
	if err := c.read(ctx, "upstreams", "", PathUpstreams, &items); err != nil {
		return nil, err
	}
	list := make([]quetzalhook.Upstream, len(items.Upstreams))
	for i, u := range items.Upstreams {
		list[i] = quetzalhook.Upstream{
			ID: quetzalhook.UpstreamID(u.ID), Zone: quetzalhook.Zone(u.Zone), Cheap: u.Cheap, State: parseState(u.State),
		}
	}
	return list, nil
}

// Orders implements quetzalhook.Provisioner.
func (c *Client) Orders(ctx context.Context) ([]string, error) {
	var items UpstreamsItem
	err := c.read(ctx, "orders", "", PathUpstreams, &items)
	return items.Orders, err
}

// Report implements quetzalhook.UsageSink.
func (c *Client) Report(ctx context.Context, window string, fencing uint64, body []byte) error {
	return c.write(ctx, call{op: "report", method: http.MethodPost, key: window, path: PathUsage + url.PathEscape(window), body: body, fencing: fencing})
}

// Hosts implements quetzalhook.HostLister.
func (c *Client) Hosts(ctx context.Context) ([]quetzalhook.HostStatus, error) {
	var items []HostItem
	if err := c.read(ctx, "hosts", "", PathHosts, &items); err != nil {
		return nil, err
	}
	list := make([]quetzalhook.HostStatus, len(items))
	for i, h := range items {
		list[i] = quetzalhook.HostStatus{
			Host: quetzalhook.HostID(h.Host), Incarnation: quetzalhook.Incarnation(h.Incarnation),
			Zone: quetzalhook.Zone(h.Zone), Leaving: h.Leaving,
		}
	}
	return list, nil
}

// bound returns the context of one call: it ends with the timeout and when
// the client is closed.
func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	stop := context.AfterFunc(c.closed, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (c *Client) read(ctx context.Context, op, key, path string, into any) error {
	c.reads.Add(1)
	ctx, cancel := c.bound(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.failed(op, key, quetzalhook.StoreUnavailable, err)
	}
	defer resp.Body.Close()
	if err := checkStatus(op, key, resp); err != nil {
		return err
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return c.failed(op, key, quetzalhook.StoreUnavailable, err)
	}
	return nil
}

// call describes one change.
type call struct {
	op, method, key, path string
	body                  []byte
	fencing               uint64
}

func (c *Client) write(ctx context.Context, w call) error {
	c.writes.Add(1)
	ctx, cancel := c.bound(ctx)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, w.method, c.base+w.path, bytes.NewReader(w.body))
	if err != nil {
		return errors.WithStack(err)
	}
	if w.fencing > 0 {
		req.Header.Set(HeaderFencing, strconv.FormatUint(w.fencing, 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		kind := quetzalhook.StoreUnavailable
		if sent.Load() {
			kind = quetzalhook.StoreUnknown
		}
		return c.failed(w.op, w.key, kind, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return checkStatus(w.op, w.key, resp)
}

// failed reports a transport error and drops idle connections, since one of
// them may be silent.
func (c *Client) failed(op, key string, kind quetzalhook.StoreErrorKind, err error) error {
	c.http.CloseIdleConnections()
	return &quetzalhook.StoreError{Op: op, Key: key, Kind: kind, Err: err}
}

var statusKinds = map[int]quetzalhook.StoreErrorKind{
	http.StatusNotFound:              quetzalhook.StoreNotFound,
	http.StatusConflict:              quetzalhook.StoreConflict,
	http.StatusRequestEntityTooLarge: quetzalhook.StoreTooLarge,
	http.StatusTooManyRequests:       quetzalhook.StoreRateLimited,
	http.StatusServiceUnavailable:    quetzalhook.StoreUnavailable,
}

func checkStatus(op, key string, resp *http.Response) error {
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	kind, ok := statusKinds[resp.StatusCode]
	if !ok {
		kind = quetzalhook.StoreUnknown
	}
	return &quetzalhook.StoreError{Op: op, Key: key, Kind: kind, Err: errors.New(resp.Status)}
}
