package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"quetzalhook"
	"quetzalhook/internal/bench/measure"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

// request is one arrival on its way.
type request struct {
	client  *Client
	arrival workload.Arrival
	caller  string
	start   time.Time
	slow    bool
	abandon bool

	first  time.Duration // from start to the first token or whole response
	tokens int
	broken bool // a connection broke
	// invalid marks a wrong answer, which counts as a violation of its own.
	invalid bool
}

// ending tells how one send ended.
type ending uint8

const (
	endServed ending = iota + 1
	endAbandoned
	endNotRun  // refused, provably not run
	endUnknown // answered with an error, may have run
	endBroken  // no answer or part of one
	endInvalid // an answer that is wrong
)

// errorBody is the body of an error answer.
type errorBody struct {
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Kind         string              `json:"kind"`
	Message      string              `json:"message"`
	Outcome      quetzalhook.Outcome `json:"outcome"`
	RetryAfterMS int64               `json:"retry-after-ms"`
	RequestID    string              `json:"request-id"`
}

// attempt sends the request once to a host.
type attempt func(ctx context.Context, host string) (ending, *errorDetail)

// run sends the request until it is served or finally refused.
func (r *request) run(ctx context.Context, send attempt) measure.Status {
	c := r.client
	for breaks := 0; ; {
		host, err := c.directory.pick(ctx, r.caller, c.settings.Region(r.arrival))
		if err != nil {
			if !r.retryRefused() || !timing.Sleep(ctx, minRetry) {
				return r.lost()
			}
			continue
		}
		_ = timing.Sleep(ctx, r.arrival.Latency)
		end, detail := send(ctx, host)
		switch end {
		case endServed:
			return measure.Served
		case endAbandoned:
			return measure.Abandoned
		case endInvalid:
			r.invalid = true
			return measure.Unknown
		case endNotRun:
			if !r.retryRefused() || !timing.Sleep(ctx, retryAfter(detail)) {
				return r.lost()
			}
		case endUnknown, endBroken:
			r.broken = r.broken || end == endBroken
			breaks++
			if end == endBroken && ctx.Err() == nil {
				c.countBroken(host)
			}
			if end == endUnknown && !r.arrival.Class.IsRepeatable() || breaks >= maxAttempts || ctx.Err() != nil {
				return measure.Unknown
			}
		}
	}
}

// retryRefused reports whether the caller repeats a refused request: always
// for work that must finish, for a while for orders. A late answer to an
// urgent question is of no use.
func (r *request) retryRefused() bool {
	class := r.arrival.Class
	return class.MustFinish || !class.IsChat() && time.Since(r.start) < orderPatience
}

// lost is the status of a request that got no answer in the end.
func (r *request) lost() measure.Status {
	if r.broken && !r.arrival.Class.IsRepeatable() {
		return measure.Unknown
	}
	return measure.Refused
}

func retryAfter(d *errorDetail) time.Duration {
	return min(max(time.Duration(d.RetryAfterMS)*time.Millisecond, minRetry), maxRetry)
}

// post sends body to a host and returns the response of a success. Other
// answers are read and classified.
func (r *request) post(ctx context.Context, method, url string, body any, header http.Header) (*http.Response, ending, *errorDetail) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, endInvalid, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, endInvalid, nil
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+r.client.settings.Keys(r.arrival.Customer))
	req.Header.Set("Request-Class", string(r.arrival.Class.Name))
	req.Header.Set("Content-Type", "application/json")
	res, err := r.client.http.Do(req)
	if err != nil {
		return nil, endBroken, nil
	}
	if res.StatusCode < http.StatusMultipleChoices {
		return res, 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	var failure errorBody
	if err != nil || json.Unmarshal(b, &failure) != nil || failure.Error == nil || failure.Error.Outcome == "" {
		return res, r.unclassified(res, err), nil
	}
	end, detail := r.refused(failure.Error)
	return nil, end, detail
}

// unclassified handles an answer without the host's error body: a broken one,
// or one that the upstream itself gave.
func (r *request) unclassified(res *http.Response, err error) ending {
	if err != nil {
		return endBroken
	}
	if !r.arrival.Class.StatusQuery || res.StatusCode != http.StatusNotFound {
		r.client.countError("status " + http.StatusText(res.StatusCode))
	}
	return endUnknown
}

// refused notes an error answer of a host.
func (r *request) refused(d *errorDetail) (ending, *errorDetail) {
	r.client.countError(d.Kind + " " + string(d.Outcome))
	if d.Outcome != quetzalhook.OutcomeNotRun {
		return endUnknown, d
	}
	r.client.mu.Lock()
	r.client.refusals = append(r.client.refusals, d.RequestID)
	r.client.mu.Unlock()
	return endNotRun, d
}

func (r *request) elapsed() time.Duration { return time.Since(r.start) + r.arrival.Latency }

func (r *request) check(name string, ok bool, details ...any) {
	r.client.settings.Invariants.Check(name, ok, append(details, "id", r.arrival.ID)...)
}

// order calls a service.
func (r *request) order(ctx context.Context, host string) (ending, *errorDetail) {
	class := r.arrival.Class
	header := make(http.Header)
	if class.StatusQuery {
		return r.status(ctx, host)
	}
	header.Set("Idempotency-Key", r.arrival.ID)
	body := map[string]any{"order-id": r.arrival.ID, "customer": r.arrival.Customer}
	res, end, detail := r.post(ctx, http.MethodPost, "http://"+host+string(class.Route), body, header)
	if end != 0 {
		return end, detail
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		Order string `json:"order-id"`
	}
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return endBroken, nil
	}
	r.first = r.elapsed()
	r.check(invariant.WholeAnswer, answer.Order == r.arrival.ID, "order", answer.Order)
	if answer.Order != r.arrival.ID {
		return endInvalid, nil
	}
	return endServed, nil
}

// status asks for the status of an order that does not exist; any answer of
// the service about this order is good.
func (r *request) status(ctx context.Context, host string) (ending, *errorDetail) {
	url := "http://" + host + string(r.arrival.Class.Route) + "/" + r.arrival.ID
	res, end, detail := r.post(ctx, http.MethodGet, url, nil, make(http.Header))
	if end == endUnknown && res != nil && res.StatusCode == http.StatusNotFound {
		end = 0
	}
	if end != 0 {
		return end, detail
	}
	_ = res.Body.Close()
	r.first = r.elapsed()
	return endServed, nil
}
