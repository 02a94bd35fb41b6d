package object

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"quetzalhook"
)

// watchBuffer is the number of events read ahead of the consumer.
const watchBuffer = 64

type watch struct {
	events chan quetzalhook.Object
	cancel context.CancelFunc
	done   chan struct{}
}

// Watch implements quetzalhook.Store. Each watch has a connection of its own,
// so that reopening one also replaces a silent connection.
func (c *Client) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	c.watches.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(c.closed, cancel)
	path := fmt.Sprintf("%s%s?prefix=%s&after=%d", c.base, PathWatch, url.QueryEscape(prefix), after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		cancel()
		return nil, errors.WithStack(err)
	}
	transport := &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: c.timeout}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		cancel()
		return nil, &quetzalhook.StoreError{Op: "watch", Key: prefix, Kind: quetzalhook.StoreUnavailable, Err: err}
	}
	if err := checkStatus("watch", prefix, resp); err != nil {
		resp.Body.Close()
		cancel()
		return nil, err
	}
	w := &watch{events: make(chan quetzalhook.Object, watchBuffer), cancel: cancel, done: make(chan struct{})}
	go w.run(ctx, resp)
	return w, nil
}

func (w *watch) run(ctx context.Context, resp *http.Response) {
	defer close(w.done)
	defer close(w.events)
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	for {
		var item Item
		if err := decoder.Decode(&item); err != nil {
			return
		}
		select {
		case w.events <- item.Object():
		case <-ctx.Done():
			return
		}
	}
}

// Events implements quetzalhook.Watch.
func (w *watch) Events() <-chan quetzalhook.Object { return w.events }

// Err implements quetzalhook.Watch.
func (w *watch) Err() error {
	<-w.done
	return &quetzalhook.StoreError{Op: "watch", Kind: quetzalhook.StoreUnavailable}
}

// Close implements quetzalhook.Watch.
func (w *watch) Close() error {
	w.cancel()
	<-w.done
	return nil
}
