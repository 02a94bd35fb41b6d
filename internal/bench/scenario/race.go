package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

const (
	// withdrawalLimit is the time within which a withdrawn key must stop
	// working on every host.
	withdrawalLimit = 4 * time.Second
	// configurationLimit is the time within which a confirmed configuration must
	// be in force on all live hosts.
	configurationLimit = 8 * time.Second
	// streamLength is the number of tokens of a stream of withdrawKey. At the
	// default token rate, the stream lasts longer than withdrawalLimit.
	streamLength = 600
)

// raceOperators makes two operators confirm different plans with the same base
// version at the same time through two hosts. It checks that at most one
// succeeds, and that its configuration comes into force on all live hosts.
func raceOperators(ctx context.Context, s *system) error {
	liveHosts := s.liveHosts()
	if len(liveHosts) < 2 {
		return errors.New("fewer than two hosts are up")
	}
	versions, errs := make([]int64, 2), make([]error, 2)
	var planned, group sync.WaitGroup
	planned.Add(2)
	for i := range 2 {
		group.Go(func() {
			plan, err := s.operator.plan(ctx, liveHosts[i].address(), s.variantDocument(i))
			planned.Done()
			planned.Wait() // both plans have the same base
			if err == nil {
				versions[i], err = s.operator.confirm(ctx, liveHosts[i].address(), plan)
			}
			errs[i] = err
		})
	}
	group.Wait()
	bothConfirmed := errs[0] == nil && errs[1] == nil
	s.checks.Check(invariant.ConfigForward, !bothConfirmed, "confirmed", versions)
	version := max(versions[0], versions[1])
	if version == 0 {
		if s.hasStoreFaults() {
			return nil
		}
		return errors.Errorf("no operator succeeded: %v; %v", errs[0], errs[1])
	}
	s.checkVersion(ctx, version)
	return nil
}

// variantDocument returns a configuration that differs from s.document in the
// weight of customer number i, and differs from all earlier variants.
func (s *system) variantDocument(i int) []byte {
	s.mu.Lock()
	s.variants++
	n := s.variants
	s.mu.Unlock()
	d := s.document
	d.Customers = append(d.Customers[:0:0], d.Customers...)
	d.Customers[i].Weight += float64(n) / 100
	b, err := encode(d)
	if err != nil {
		panic(err) // cannot happen: s.document was encoded before
	}
	return b
}

// hasStoreFaults reports whether a fault of the store is active.
func (s *system) hasStoreFaults() bool {
	return s.backend.cloud.Store().Faults() != memory.Faults{}
}

// checkVersion checks that a configuration version comes into force on all live
// hosts within configurationLimit.
func (s *system) checkVersion(ctx context.Context, version int64) {
	limited, cancel := context.WithTimeout(ctx, configurationLimit)
	defer cancel()
	err := retry(limited, func() error {
		for _, h := range s.liveHosts() {
			if h.version() < version {
				return errors.Errorf("host %s has version %d, want %d", h.name, h.version(), version)
			}
		}
		return nil
	})
	if ctx.Err() == nil && !s.hasStoreFaults() {
		s.checks.Check(invariant.ConfigForward, err == nil, "error", err)
	}
}

// withdrawKey withdraws a key while streams with it are open. It checks that the
// streams have ended after withdrawalLimit and that new requests are denied.
func withdrawKey(ctx context.Context, s *system) error {
	liveHosts := s.liveHosts()
	key := s.probeKey
	var group sync.WaitGroup
	streams := make([]stream, len(liveHosts))
	for i, h := range liveHosts {
		if err := streams[i].open(ctx, s, h.address(), key.Secret); err != nil {
			return errors.Wrapf(err, "stream on host %s", h.name)
		}
		group.Go(streams[i].drain)
	}
	if err := s.operator.withdraw(ctx, liveHosts[0].address(), key.ID); err != nil {
		return err
	}
	if !timing.Sleep(ctx, withdrawalLimit) {
		return nil
	}
	for i, h := range liveHosts {
		ended := streams[i].ended()
		s.checks.Check(invariant.WithdrawnKey, ended || h.isDown(), "host", h.name, "stream", "open")
	}
	for _, h := range s.liveHosts() {
		status, err := s.probe(ctx, h.address(), key.Secret)
		s.checks.Check(invariant.WithdrawnKey, err != nil || status >= http.StatusBadRequest, "host", h.name, "status", status)
	}
	for i := range streams {
		streams[i].cancel()
	}
	group.Wait()
	return nil
}

// stream is a long streamed response that is read in the background.
type stream struct {
	cancel   context.CancelFunc
	system   *system
	response *http.Response
	done     chan struct{}
}

func (t *stream) open(ctx context.Context, s *system, host, secret string) error {
	ctx, t.cancel = context.WithCancel(ctx)
	t.system = s
	t.done = make(chan struct{})
	res, err := s.send(ctx, host, secret, s.workloads[1].Classes[4], streamLength)
	if err != nil {
		close(t.done)
		return err
	}
	t.response = res
	return nil
}

// drain reads the stream to its end.
func (t *stream) drain() {
	defer close(t.done)
	defer func() { _ = t.response.Body.Close() }()
	for lines := bufio.NewScanner(t.response.Body); lines.Scan(); {
		if strings.Contains(lines.Text(), `"content":"k`) {
			t.system.streamTokens.Add(1)
		}
	}
}

func (t *stream) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// probe sends a chat request for one token and returns the status code.
func (s *system) probe(ctx context.Context, host, secret string) (int, error) {
	res, err := s.send(ctx, host, secret, s.workloads[0].Classes[0], 1)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, nil
}

func (s *system) send(ctx context.Context, host, secret string, class workload.Class, tokens int) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": s.workloads[0].Model, "stream": true, "metadata": map[string]int{"output_tokens": tokens},
		"messages": []map[string]string{{"role": "user", "content": strings.Repeat(string(class.Name)+" ", 10)}},
	})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+string(workload.RouteChat), bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set("Request-Class", string(class.Name))
	return s.operator.client.Do(req)
}

// probeCustomer is the customer whose key the requests of probe and withdrawKey
// use. FaultKeyWithdrawal withdraws that key.
const probeCustomer = quetzalhook.CustomerID("withdrawal-probe")
