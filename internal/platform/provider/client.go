// Package provider is the HTTP client for the platform's API by which an entry
// host orders upstreams, reports usage and lists the hosts. Stored objects are
// accessed through a quetzalhook.Store instead.
//
// A failed write is StoreUnavailable only if the request certainly did not reach
// the platform or the platform rejected it as unavailable. A failure without a
// definite result is StoreUnknown, and the caller must read the state to find
// out whether the write took effect.
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/platform/fragment"
	"quetzalhook/internal/platform/intake"
	"quetzalhook/internal/platform/response"
)

const (
	// callTimeout bounds one call. The platform responds in milliseconds.
	callTimeout = 2 * time.Second
	// idleTimeout bounds how long an idle connection may be reused. The network
	// may drop the state of an idle connection without closing it.
	idleTimeout = 5 * time.Second
)

// maxResponse bounds a response of the platform, in bytes.
const maxResponse = 8 << 20

// Client calls the platform's API. It implements quetzalhook.Provisioner,
// quetzalhook.UsageSink and quetzalhook.HostLister and is safe for concurrent
// use.
type Client struct {
	base   string
	http   *http.Client
	log    logrus.FieldLogger
	counts *response.Counts // of invalid responses

	closed context.Context // ends at Close
	close  context.CancelFunc

	reads, writes atomic.Int64

	mu  sync.Mutex
	odd map[uint64]struct{} // digests of items that could not be decoded and were logged
}

// Option sets one property of a Client.
type Option func(*Client)

// WithCounts counts invalid responses.
func WithCounts(c *response.Counts) Option {
	return func(client *Client) { client.counts = c }
}

// New returns a client for the platform at address, host:port.
func New(address string, log logrus.FieldLogger, opts ...Option) *Client {
	c := &Client{base: "http://" + address, log: log, odd: make(map[uint64]struct{})}
	for _, o := range opts {
		o(c)
	}
	c.closed, c.close = context.WithCancel(context.Background())
	c.http = &http.Client{Transport: response.NewTransport(&http.Transport{
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 16,

		MaxResponseHeaderBytes: intake.MaxHeader,
	}, c.counts)}
	return c
}

// Close cancels the calls in progress and makes every later call fail without
// being sent. The outcome of a write that it cancels is unknown.
func (c *Client) Close() error {
	c.close()
	c.http.CloseIdleConnections()
	return nil
}

// Calls returns how many reads and writes were made so far.
func (c *Client) Calls() (reads, writes int64) { return c.reads.Load(), c.writes.Load() }

// Order implements quetzalhook.Provisioner.
func (c *Client) Order(ctx context.Context, o quetzalhook.UpstreamOrder) error {
	body, err := json.Marshal(OrderItem{ID: o.ID, Zone: string(o.Zone), Cheap: o.Cheap, Count: o.Count})
	if err != nil {
		return errors.WithStack(err)
	}
	return c.write(ctx, call{op: "order", method: http.MethodPost, key: o.ID, path: PathOrders, body: body, fencing: o.Fencing})
}

// Upstreams implements quetzalhook.Provisioner. It sets only ID, Zone, Cheap and
// State.
func (c *Client) Upstreams(ctx context.Context) ([]quetzalhook.Upstream, error) {
	items, err := c.readUpstreams(ctx, "upstreams")
	if err != nil {
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

// readUpstreams reads the list of upstreams and of the orders that took effect.
func (c *Client) readUpstreams(ctx context.Context, op string) (UpstreamList, error) {
	var list UpstreamList
	err := c.read(ctx, op, "", PathUpstreams, func(body []byte) error {
		return fragment.Members(body, func(name, value []byte) (err error) {
			switch string(name) {
			case "upstreams":
				list.Upstreams, err = decodeItems[UpstreamItem](c, op, value)
			case "orders":
				list.Orders, err = decodeItems[string](c, op, value)
			}
			return err
		})
	})
	return list, err
}

// decodeItems decodes the elements of a list. One that cannot be decoded is logged
// and skipped, so that it does not hide the others.
func decodeItems[T any](c *Client, op string, list []byte) ([]T, error) {
	var items []T
	err := fragment.Elements(list, func(data []byte) error {
		var item T
		if err := json.Unmarshal(data, &item); err != nil {
			if c.isNewOdd(data) {
				c.log.WithError(err).WithField("op", op).WithField("bytes", len(data)).Warn("cannot decode an item of the platform; skipping it")
			}
			return nil
		}
		items = append(items, item)
		return nil
	})
	return items, err
}

// Orders implements quetzalhook.Provisioner.
func (c *Client) Orders(ctx context.Context) ([]string, error) {
	items, err := c.readUpstreams(ctx, "orders")
	return items.Orders, err
}

// maxLogged is the number of odd items that are remembered as logged.
const maxLogged = 100

// isNewOdd reports whether an item that cannot be decoded is seen for the first time.
func (c *Client) isNewOdd(data []byte) bool {
	key := xxhash.Sum64(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.odd[key]; ok {
		return false
	}
	if len(c.odd) >= maxLogged {
		clear(c.odd)
	}
	c.odd[key] = struct{}{}
	return true
}

// Report implements quetzalhook.UsageSink.
func (c *Client) Report(ctx context.Context, window string, fencing uint64, body []byte) error {
	return c.write(ctx, call{op: "report", method: http.MethodPost, key: window, path: PathUsage + url.PathEscape(window), body: body, fencing: fencing})
}

// Hosts implements quetzalhook.HostLister.
func (c *Client) Hosts(ctx context.Context) ([]quetzalhook.HostStatus, error) {
	var items []HostItem
	// An odd item is an error: usage is billed without a host that is not listed.
	err := c.read(ctx, "hosts", "", PathHosts, func(body []byte) error { return json.Unmarshal(body, &items) })
	if err != nil {
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

// callContext returns the context of one call, which ends after callTimeout or
// when the client is closed.
func (c *Client) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	stop := context.AfterFunc(c.closed, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (c *Client) read(ctx context.Context, op, key, path string, decode func(body []byte) error) error {
	c.reads.Add(1)
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.transportError(op, key, quetzalhook.StoreUnavailable, err)
	}
	defer resp.Body.Close()
	if err := checkStatus(op, key, resp); err != nil {
		return err
	}
	body, err := intake.ReadAll(resp.Body, maxResponse)
	if err == nil {
		err = decode(body)
	}
	if err != nil {
		return c.transportError(op, key, quetzalhook.StoreUnavailable, err)
	}
	return nil
}

// call is one write call.
type call struct {
	op, method, key, path string
	body                  []byte
	fencing               uint64
}

func (c *Client) write(ctx context.Context, w call) error {
	c.writes.Add(1)
	ctx, cancel := c.callContext(ctx)
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
		return c.transportError(w.op, w.key, kind, err)
	}
	defer resp.Body.Close()
	_, bodyErr := io.CopyN(io.Discard, resp.Body, maxResponse)
	if err := checkStatus(w.op, w.key, resp); err != nil {
		return err
	}
	if bodyErr != nil && bodyErr != io.EOF {
		return c.transportError(w.op, w.key, quetzalhook.StoreUnknown, bodyErr)
	}
	return nil
}

// transportError returns a transport error and closes idle connections, since
// they may be broken too.
func (c *Client) transportError(op, key string, kind quetzalhook.StoreErrorKind, err error) error {
	c.http.CloseIdleConnections()
	return &quetzalhook.StoreError{Op: op, Key: key, Kind: kind, Err: err}
}

// statusKinds maps the HTTP status of a failed call to its kind of error.
var statusKinds = map[int]quetzalhook.StoreErrorKind{
	http.StatusNotFound:              quetzalhook.StoreNotFound,
	http.StatusConflict:              quetzalhook.StoreConflict,
	http.StatusRequestEntityTooLarge: quetzalhook.StoreTooLarge,
	http.StatusTooManyRequests:       quetzalhook.StoreRateLimited,
	http.StatusServiceUnavailable:    quetzalhook.StoreUnavailable,
}

// checkStatus returns an error if the response has an error status.
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
