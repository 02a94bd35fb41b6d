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

// Comparison sends the same streamed question to an engine directly and
// through a host, in turns, so that both see the same state of the machine.
type Comparison struct {
	Engine   string // address
	Host     string // address
	Key      string
	Model    string
	Class    string
	Requests int // pairs
	Tokens   int // of each answer
}

// Latencies are the times of one side, in microseconds.
type Latencies struct {
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
}

const compareMax = int64(time.Minute / time.Microsecond)

func newLatencies() Latencies {
	return Latencies{FirstToken: hdrhistogram.New(1, compareMax, 3), Total: hdrhistogram.New(1, compareMax, 3)}
}

// compareWarmUp is the number of pairs that are not recorded.
const compareWarmUp = 20

// Run returns the times without and with the host.
func (c Comparison) Run(ctx context.Context) (direct, routed Latencies, err error) {
	direct, routed = newLatencies(), newLatencies()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range c.Requests + compareWarmUp {
		for _, side := range []struct {
			address string
			times   Latencies
		}{{c.Engine, direct}, {c.Host, routed}} {
			first, total, err := c.send(ctx, client, side.address, i)
			if err != nil {
				return direct, routed, errors.Wrap(err, side.address)
			}
			if i >= compareWarmUp {
				_ = side.times.FirstToken.RecordValue(first.Microseconds())
				_ = side.times.Total.RecordValue(total.Microseconds())
			}
		}
	}
	return direct, routed, nil
}

// Steady sends the question to the host at an even rate, open loop, and
// returns the times and the errors of failed requests.
func (c Comparison) Steady(ctx context.Context, rate float64, duration time.Duration) (times Latencies, failed []error) {
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

// send returns the time to the first token and to the end of the answer.
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
		return 0, 0, errors.Errorf("status %d with %d tokens, want %d", res.StatusCode, tokens, c.Tokens)
	}
	return first, time.Since(begin), nil
}
