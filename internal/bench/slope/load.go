package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/state/timing"
)

const (
	className = "question"
	chatRoute = "/v1/chat/completions"
	// callTimeout bounds one call by the operator or by a caller.
	callTimeout = 10 * time.Second
	retryPause  = 100 * time.Millisecond
)

func customerName(i int) string { return fmt.Sprintf("customer-%05d", i) }

// document returns the operator's configuration for the run.
func (f *fleet) document() configuration.Document {
	d := configuration.Document{
		Classes: []configuration.Class{{Name: className, Tier: 1, TTFTTarget: 2 * time.Second, FloorShare: 0.1}},
		Models:  []configuration.Model{{Name: modelName, ContextTokens: 32768}},
		Routes:  []configuration.Route{{Path: chatRoute, Kind: configuration.KindChat, Repeatable: true}},
		Distances: []configuration.Distance{{
			From: "region", To: "region", Delay: time.Millisecond,
		}},
		Keys:      configuration.Keys{CurrencyLimit: 10 * time.Second, UnknownRetention: 10 * time.Second},
		Retention: configuration.Retention{Journal: time.Hour},
	}
	for i := range f.settings.Zones {
		d.Zones = append(d.Zones, configuration.Zone{Name: f.zoneName(i), Region: "region"})
	}
	for i := range f.settings.Customers {
		d.Customers = append(d.Customers, configuration.Customer{
			Name: customerName(i), Weight: 1, Classes: []string{className}, DefaultClass: className,
		})
	}
	for i := range f.settings.Upstreams {
		d.Upstreams = append(d.Upstreams, configuration.Upstream{
			Name: upstreamName(i), Kind: configuration.KindEngine, Zone: f.zoneName(i), Address: f.engineAddresses[i%len(f.engineAddresses)],
			Models: []string{modelName}, Slots: slotsPerUpstream, TokenRate: 2000, PrefillRate: 20000, Price: 1,
		})
	}
	return d
}

// configure plans and confirms the configuration and issues a key for the first
// customer. It retries until it succeeds or ctx ends.
func (f *fleet) configure(ctx context.Context) error {
	document, err := yaml.Marshal(f.document())
	if err != nil {
		return errors.WithStack(err)
	}
	host := f.nodes[0].Address()
	return retry(ctx, func() error {
		var plan struct {
			ID string `json:"id"`
		}
		if err := f.postOperator(ctx, host, "/operator/plans", document, &plan); err != nil {
			return err
		}
		if err := f.postOperator(ctx, host, "/operator/plans/"+plan.ID+"/confirm", nil, nil); err != nil {
			return err
		}
		var key struct {
			Secret string `json:"secret"`
		}
		err := f.postOperator(ctx, host, "/operator/keys", fmt.Appendf(nil, `{"customer":%q}`, customerName(0)), &key)
		f.secret = key.Secret
		return err
	})
}

// postOperator sends an operator request and decodes the JSON response into
// result, unless result is nil.
func (f *fleet) postOperator(ctx context.Context, host, path string, body []byte, result any) error {
	response, err := f.send(ctx, host, path, operatorKey, body)
	if err != nil || result == nil {
		return err
	}
	return errors.WithStack(json.Unmarshal(response, result))
}

// send sends a POST request and returns the response body. Statuses of 300 and
// above are errors.
func (f *fleet) send(ctx context.Context, host, path, key string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusMultipleChoices {
		err = errors.Errorf("%s: %s", resp.Status, bytes.TrimSpace(response))
	}
	return response, errors.WithStack(err)
}

// sendChat sends one streamed chat request and reads the whole answer.
func (f *fleet) sendChat(ctx context.Context, host string) error {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Which permit do I need?"}]}`,
		modelName, f.settings.Tokens)
	_, err := f.send(ctx, host, chatRoute, f.secret, body)
	return err
}

// startLoad sends chat requests to every host at Settings.Rate until ctx ends.
// The returned function waits for the requests that are still in progress.
func (f *fleet) startLoad(ctx context.Context) (wait func()) {
	var group sync.WaitGroup
	for _, n := range f.nodes {
		interval := time.Duration(float64(time.Second) / f.settings.Rate)
		group.Go(func() {
			timing.Every(ctx, interval, func() { group.Go(func() { f.countResult(f.sendChat(ctx, n.Address())) }) })
		})
	}
	return group.Wait
}

// countResult counts a chat request as served or failed.
func (f *fleet) countResult(err error) {
	if err != nil {
		f.failed.Add(1)
		return
	}
	f.served.Add(1)
}

// retry calls do until it succeeds or ctx ends.
func retry(ctx context.Context, do func() error) error {
	for {
		err := do()
		if err == nil || !timing.Sleep(ctx, retryPause) {
			return err
		}
	}
}
