// Package object is the HTTP client of the platform's service: versioned
// objects and watches, orders for upstreams, usage reports and the list of
// hosts.
//
// A failed change is StoreUnavailable only if the request provably did not
// reach the platform or the platform refused it; every other failure is
// StoreUnknown, and the caller reads again to learn what happened.
package object

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

const (
	defaultTimeout = 2 * time.Second
	// idleTimeout bounds how long an idle connection may be reused, since the
	// network may have forgotten it.
	idleTimeout = 5 * time.Second
)

// Client talks to the platform. It implements quetzalhook.Store,
// Provisioner, UsageSink and HostLister and is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration

	closed context.Context // ends at Close
	close  context.CancelFunc

	reads, writes, watches atomic.Int64
}

// Option sets one property of a Client.
type Option func(*Client)

// WithTimeout bounds every call but the watches; the default is 2 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the platform at address, a host:port.
func New(address string, opts ...Option) *Client {
	c := &Client{base: "http://" + address, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
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
func (c *Client) Calls() (reads, writes, watches int64) {
	return c.reads.Load(), c.writes.Load(), c.watches.Load()
}

// Get implements quetzalhook.Store.
func (c *Client) Get(ctx context.Context, key string) (quetzalhook.Object, error) {
	var item Item
	if err := c.read(ctx, "get", key, PathObjects+escape(key), &item); err != nil {
		return quetzalhook.Object{}, err
	}
	return item.Object(), nil
}

// List implements quetzalhook.Store.
func (c *Client) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	var item ListItem
	path := PathList + "?prefix=" + url.QueryEscape(prefix)
	if err := c.read(ctx, "list", prefix, path, &item); err != nil {
		return quetzalhook.Listing{}, err
	}
	list := quetzalhook.Listing{Version: quetzalhook.Version(item.Version)}
	for _, i := range item.Items {
		list.Objects = append(list.Objects, i.Object())
	}
	return list, nil
}

// Put implements quetzalhook.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	if len(value) > quetzalhook.MaxValueSize {
		return 0, &quetzalhook.StoreError{Op: "put", Key: key, Kind: quetzalhook.StoreTooLarge}
	}
	resp, err := c.write(ctx, call{op: "put", method: http.MethodPut, key: key, path: PathObjects + escape(key), body: value, base: &base})
	if err != nil {
		return 0, err
	}
	tag := strings.Trim(resp.Get("ETag"), `"`)
	version, err := strconv.ParseInt(tag, 10, 64)
	if err != nil {
		return 0, &quetzalhook.StoreError{Op: "put", Key: key, Kind: quetzalhook.StoreUnknown, Err: err}
	}
	return quetzalhook.Version(version), nil
}

// Delete implements quetzalhook.Store.
func (c *Client) Delete(ctx context.Context, key string, base quetzalhook.Version) error {
	_, err := c.write(ctx, call{op: "delete", method: http.MethodDelete, key: key, path: PathObjects + escape(key), base: &base})
	return err
}

// Order implements quetzalhook.Provisioner.
func (c *Client) Order(ctx context.Context, o quetzalhook.UpstreamOrder) error {
	body, err := json.Marshal(OrderItem{ID: o.ID, Zone: string(o.Zone), Cheap: o.Cheap, Count: o.Count})
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = c.write(ctx, call{op: "order", method: http.MethodPost, key: o.ID, path: PathOrders, body: body, fencing: o.Fencing})
	return err
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
	_, err := c.write(ctx, call{op: "report", method: http.MethodPost, key: window, path: PathUsage + escape(window), body: body, fencing: fencing})
	return err
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
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
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
	base                  *quetzalhook.Version
	fencing               uint64
}

func (c *Client) write(ctx context.Context, w call) (http.Header, error) {
	c.writes.Add(1)
	ctx, cancel := c.bound(ctx)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, w.method, c.base+w.path, bytes.NewReader(w.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	w.setHeaders(req)
	resp, err := c.http.Do(req)
	if err != nil {
		kind := quetzalhook.StoreUnavailable
		if sent.Load() {
			kind = quetzalhook.StoreUnknown
		}
		return nil, c.failed(w.op, w.key, kind, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if err := checkStatus(w.op, w.key, resp); err != nil {
		return nil, err
	}
	return resp.Header, nil
}

func (w call) setHeaders(req *http.Request) {
	switch {
	case w.base == nil:
	case *w.base == 0:
		req.Header.Set("If-None-Match", "*")
	default:
		req.Header.Set("If-Match", fmt.Sprintf("%q", strconv.FormatInt(int64(*w.base), 10)))
	}
	if w.fencing > 0 {
		req.Header.Set(HeaderFencing, strconv.FormatUint(w.fencing, 10))
	}
}

// failed reports a transport error and drops idle connections, since one of
// them may be silent.
func (c *Client) failed(op, key string, kind quetzalhook.StoreErrorKind, err error) error {
	c.http.CloseIdleConnections()
	return &quetzalhook.StoreError{Op: op, Key: key, Kind: kind, Err: err}
}

var statusKinds = map[int]quetzalhook.StoreErrorKind{
	http.StatusNotFound:              quetzalhook.StoreNotFound,
	http.StatusPreconditionFailed:    quetzalhook.StoreConflict,
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

func escape(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}
