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
	// askTimeout bounds one GET /v1/hosts.
	askTimeout = 2 * time.Second
	// failureMemory is how long a caller avoids a host that failed.
	failureMemory = 3 * time.Second
)

// directory holds each caller's answer of GET /v1/hosts for its lifetime.
type directory struct {
	client    *http.Client
	bootstrap []string

	mu      sync.Mutex
	answers map[string]answer // by caller
	failed  map[string]time.Time
}

type answer struct {
	addresses []string
	expires   time.Time
}

// hostsBody is the answer of GET /v1/hosts.
type hostsBody struct {
	Hosts []struct {
		Address string `json:"address"`
	} `json:"hosts"`
	LifetimeMS int64 `json:"lifetime-ms"`
}

func newDirectory(c *http.Client, bootstrap []string) *directory {
	return &directory{
		client: c, bootstrap: bootstrap,
		answers: make(map[string]answer), failed: make(map[string]time.Time),
	}
}

// pick returns the first host of the caller's answer that has not failed
// lately, and asks again when the answer has expired or is used up.
func (d *directory) pick(ctx context.Context, caller, region string) (string, error) {
	if address := d.cached(caller); address != "" {
		return address, nil
	}
	var last error
	for _, address := range d.candidates() {
		a, err := d.ask(ctx, address, region)
		if err != nil {
			d.fail(address)
			last = err
			continue
		}
		d.mu.Lock()
		d.answers[caller] = a
		d.mu.Unlock()
		if address := d.cached(caller); address != "" {
			return address, nil
		}
		last = errors.Errorf("host %s lists no host that is up", address)
	}
	return "", errors.Wrap(last, "no host answers")
}

func (d *directory) cached(caller string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	a := d.answers[caller]
	if now.After(a.expires) {
		return ""
	}
	for _, address := range a.addresses {
		if now.Sub(d.failed[address]) > failureMemory {
			return address
		}
	}
	return ""
}

// candidates returns the hosts to ask: the known ones in random order, those
// that failed lately last.
func (d *directory) candidates() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var up, down []string
	for _, i := range rand.Perm(len(d.bootstrap)) {
		if address := d.bootstrap[i]; time.Since(d.failed[address]) > failureMemory {
			up = append(up, address)
		} else {
			down = append(down, address)
		}
	}
	return append(up, down...)
}

func (d *directory) ask(ctx context.Context, address, region string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := url.Values{"region": {region}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/hosts?"+query, http.NoBody)
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	res, err := d.client.Do(req)
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	var body hostsBody
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		return answer{}, errors.WithStack(err)
	}
	a := answer{expires: time.Now().Add(time.Duration(body.LifetimeMS) * time.Millisecond)}
	for _, h := range body.Hosts {
		a.addresses = append(a.addresses, h.Address)
	}
	return a, nil
}

// fail makes callers avoid a host for a while.
func (d *directory) fail(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[address] = time.Now()
}
