package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/state/timing"
)

// Comparison measures the latency that a host adds. It sends the same streamed
// chat request alternately to an engine and, through a host, to the engines of
// that host, so that both paths are measured under the same load of the machine.
type Comparison struct {
	Engine   string // address
	Host     string // address
	Key      string
	Model    string
	Class    string
	Requests int // pairs of requests
	Tokens   int // of each response
}

// Latencies are the latencies of one path, in microseconds.
type Latencies struct {
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
}

const maxCompareUs = int64(time.Minute / time.Microsecond)

func newLatencies() Latencies {
	return Latencies{FirstToken: hdrhistogram.New(1, maxCompareUs, 3), Total: hdrhistogram.New(1, maxCompareUs, 3)}
}

// warmUpPairs is the number of pairs that are not recorded.
const warmUpPairs = 20

// Run measures the latencies of requests to the engine and to the host.
func (c Comparison) Run(ctx context.Context) (direct, routed Latencies, err error) {
	direct, routed = newLatencies(), newLatencies()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range c.Requests + warmUpPairs {
		for _, side := range []struct {
			address string
			times   Latencies
		}{{c.Engine, direct}, {c.Host, routed}} {
			first, total, err := c.send(ctx, client, side.address, i)
			if err != nil {
				return direct, routed, errors.Wrap(err, side.address)
			}
			if i >= warmUpPairs {
				_ = side.times.FirstToken.RecordValue(first.Microseconds())
				_ = side.times.Total.RecordValue(total.Microseconds())
			}
		}
	}
	return direct, routed, nil
}

// SendAtRate sends requests to the host at a constant rate, which does not depend
// on the responses. It returns the latencies and the errors of failed requests.
func (c Comparison) SendAtRate(ctx context.Context, rate float64, duration time.Duration) (times Latencies, failed []error) {
	times = newLatencies()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, MaxIdleConns: idleConnections}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	var mu sync.Mutex
	begin := time.Now()
	for i := range int(rate * duration.Seconds()) {
		if !timing.Sleep(ctx, time.Until(begin.Add(time.Duration(float64(i)/rate*float64(time.Second))))) {
			break
		}
		group.Go(func() {
			first, total, err := c.send(ctx, client, c.Host, i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, err)
				return
			}
			_ = times.FirstToken.RecordValue(first.Microseconds())
			_ = times.Total.RecordValue(total.Microseconds())
		})
	}
	group.Wait()
	return times, failed
}

// send sends request number i and returns the time to the first token and to the
// end of the response.
func (c Comparison) send(ctx context.Context, client *http.Client, address string, i int) (first, total time.Duration, err error) {
	body, err := json.Marshal(chatBody{
		Model: c.Model, Stream: true, Metadata: map[string]int{"output_tokens": c.Tokens},
		Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("question %d", i)}},
	})
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+string(workload.RouteChat), bytes.NewReader(body))
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	if address == c.Host {
		req.Header.Set("Authorization", "Bearer "+c.Key)
		req.Header.Set("Request-Class", c.Class)
	}
	begin := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	tokens := 0
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		if strings.Contains(lines.Text(), `"content":"k`) {
			if tokens++; tokens == 1 {
				first = time.Since(begin)
			}
		}
	}
	if tokens != c.Tokens {
		return 0, 0, errors.Errorf("response with status %d has %d tokens, want %d", res.StatusCode, tokens, c.Tokens)
	}
	return first, time.Since(begin), nil
}
