package client

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// listTimeout bounds one GET /v1/hosts.
	listTimeout = 2 * time.Second
	// avoidTime is the time for which callers avoid a host after a failure.
	avoidTime = 3 * time.Second
)

// directory caches the list of hosts of each caller, from GET /v1/hosts, for the
// lifetime that the response states.
type directory struct {
	client    *http.Client
	bootstrap []string

	mu       sync.Mutex
	lists    map[string]hostList // by caller
	failedAt map[string]time.Time
}

type hostList struct {
	addresses []string
	expires   time.Time
}

// hostsBody is the response body of GET /v1/hosts.
type hostsBody struct {
	Hosts []struct {
		Address string `json:"address"`
	} `json:"hosts"`
	LifetimeMS int64 `json:"lifetime-ms"`
}

func newDirectory(c *http.Client, bootstrap []string) *directory {
	return &directory{
		client: c, bootstrap: bootstrap,
		lists: make(map[string]hostList), failedAt: make(map[string]time.Time),
	}
}

// pickHost returns the first host of the caller's list that has not failed within
// avoidTime. It fetches a new list if the list has expired or has no such host.
func (d *directory) pickHost(ctx context.Context, caller, region string) (string, error) {
	if address := d.cachedHost(caller); address != "" {
		return address, nil
	}
	var lastErr error
	for _, address := range d.candidates() {
		list, err := d.fetchHosts(ctx, address, region)
		if err != nil {
			d.markFailed(address)
			lastErr = err
			continue
		}
		d.mu.Lock()
		d.lists[caller] = list
		d.mu.Unlock()
		if address := d.cachedHost(caller); address != "" {
			return address, nil
		}
		lastErr = errors.Errorf("host %s lists no host without a recent failure", address)
	}
	return "", errors.Wrap(lastErr, "no usable host")
}

func (d *directory) cachedHost(caller string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	list := d.lists[caller]
	if now.After(list.expires) {
		return ""
	}
	for _, address := range list.addresses {
		if now.Sub(d.failedAt[address]) > avoidTime {
			return address
		}
	}
	return ""
}

// candidates returns the hosts from which to fetch a list, in random order but
// with those that failed within avoidTime last.
func (d *directory) candidates() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var usable, failed []string
	for _, i := range rand.Perm(len(d.bootstrap)) {
		if address := d.bootstrap[i]; time.Since(d.failedAt[address]) > avoidTime {
			usable = append(usable, address)
		} else {
			failed = append(failed, address)
		}
	}
	return append(usable, failed...)
}

func (d *directory) fetchHosts(ctx context.Context, address, region string) (hostList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	query := url.Values{"region": {region}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/hosts?"+query, http.NoBody)
	if err != nil {
		return hostList{}, errors.WithStack(err)
	}
	res, err := d.client.Do(req)
	if err != nil {
		return hostList{}, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	var body hostsBody
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		return hostList{}, errors.WithStack(err)
	}
	list := hostList{expires: time.Now().Add(time.Duration(body.LifetimeMS) * time.Millisecond)}
	for _, h := range body.Hosts {
		list.addresses = append(list.addresses, h.Address)
	}
	return list, nil
}

// markFailed makes all callers avoid a host for avoidTime.
func (d *directory) markFailed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedAt[address] = time.Now()
}
