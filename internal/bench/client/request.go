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

// request is the state of an arrival that is being sent.
type request struct {
	client  *Client
	arrival workload.Arrival
	caller  string
	start   time.Time
	slow    bool // the caller reads the response slowly
	abandon bool // the caller disconnects after abandonAfterTokens

	firstToken time.Duration // from start to the first token or the complete response of a service
	tokens     int
	broken     bool // a connection broke
	// invalid marks a request with a wrong response, which was counted as a
	// violation of whole-answer.
	invalid bool
}

// ending tells how one attempt of a request ended. Zero means that it has not
// ended yet.
type ending uint8

const (
	endServed ending = iota + 1
	endAbandoned
	endNotRun  // refused; the response says that the request did not run
	endUnknown // error response; the request may have run
	endBroken  // no response or only part of one
	endInvalid // wrong response
)

// errorBody is the body of an error response of a host.
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

// sendFunc sends a request once to a host.
type sendFunc func(ctx context.Context, host string) (ending, *errorDetail)

// run sends the request, with retries, and returns how it ended.
func (r *request) run(ctx context.Context, send sendFunc) measure.Status {
	c := r.client
	for failures := 0; ; {
		host, err := c.directory.pickHost(ctx, r.caller, c.settings.Region(r.arrival))
		if err != nil {
			if !r.mayRetryRefused() || !timing.Sleep(ctx, minRetryAfter) {
				return r.finalStatus()
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
			if !r.mayRetryRefused() || !timing.Sleep(ctx, retryAfter(detail)) {
				return r.finalStatus()
			}
		case endUnknown, endBroken:
			r.broken = r.broken || end == endBroken
			failures++
			if end == endBroken && ctx.Err() == nil {
				c.countBroken(host)
			}
			if end == endUnknown && !r.arrival.Class.IsRepeatable() || failures >= maxAttempts || ctx.Err() != nil {
				return measure.Unknown
			}
		}
	}
}

// mayRetryRefused reports whether the caller retries a refused request: always if
// it must finish, for orderRetryTime if it is an order. Other chat requests are
// not retried, because a late response to an urgent question is useless.
func (r *request) mayRetryRefused() bool {
	class := r.arrival.Class
	return class.MustFinish || !class.IsChat() && time.Since(r.start) < orderRetryTime
}

// finalStatus returns the status of a request that was not served.
func (r *request) finalStatus() measure.Status {
	if r.broken && !r.arrival.Class.IsRepeatable() {
		return measure.Unknown
	}
	return measure.Refused
}

func retryAfter(d *errorDetail) time.Duration {
	return min(max(time.Duration(d.RetryAfterMS)*time.Millisecond, minRetryAfter), maxRetryAfter)
}

// post sends body to a host and returns a successful response. It reads and
// classifies other responses.
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
		return res, r.classifyOther(res, err), nil
	}
	end, detail := r.classifyError(failure.Error)
	return nil, end, detail
}

// classifyOther classifies an error response without the error body of a host,
// such as one that the upstream sent. err is the error of reading the response.
func (r *request) classifyOther(res *http.Response, err error) ending {
	if err != nil {
		return endBroken
	}
	if !r.arrival.Class.StatusQuery || res.StatusCode != http.StatusNotFound {
		r.client.countError("status " + http.StatusText(res.StatusCode))
	}
	return endUnknown
}

// classifyError counts and classifies an error response of a host.
func (r *request) classifyError(d *errorDetail) (ending, *errorDetail) {
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

// sendOrder sends a service call: an order, or the query of the status of one.
func (r *request) sendOrder(ctx context.Context, host string) (ending, *errorDetail) {
	class := r.arrival.Class
	header := make(http.Header)
	if class.StatusQuery {
		return r.queryOrder(ctx, host)
	}
	header.Set("Idempotency-Key", r.arrival.ID)
	body := map[string]any{"order-id": r.arrival.ID, "customer": r.arrival.Customer}
	res, end, detail := r.post(ctx, http.MethodPost, "http://"+host+string(class.Route), body, header)
	if end != 0 {
		return end, detail
	}
	defer func() { _ = res.Body.Close() }()
	var response struct {
		Order string `json:"order-id"`
	}
	if err := json.NewDecoder(res.Body).Decode(&response); err != nil {
		return endBroken, nil
	}
	r.firstToken = r.elapsed()
	r.check(invariant.WholeAnswer, response.Order == r.arrival.ID, "order", response.Order)
	if response.Order != r.arrival.ID {
		return endInvalid, nil
	}
	return endServed, nil
}

// queryOrder queries the status of an order that does not exist. Both a success
// and a 404 of the service count as served.
func (r *request) queryOrder(ctx context.Context, host string) (ending, *errorDetail) {
	url := "http://" + host + string(r.arrival.Class.Route) + "/" + r.arrival.ID
	res, end, detail := r.post(ctx, http.MethodGet, url, nil, make(http.Header))
	if end == endUnknown && res != nil && res.StatusCode == http.StatusNotFound {
		end = 0
	}
	if end != 0 {
		return end, detail
	}
	_ = res.Body.Close()
	r.firstToken = r.elapsed()
	return endServed, nil
}
