package front

import (
	"encoding/json"
	"net/http"

	"quetzalhook"
)

// HostsBody is the response to GET /v1/hosts.
type HostsBody struct {
	// Hosts is in order of preference: callers use the first host that
	// responds.
	Hosts []HostAddress `json:"hosts"`
	// LifetimeMS is how long the response may be cached, in milliseconds.
	LifetimeMS int64 `json:"lifetime-ms"`
}

// hosts serves GET /v1/hosts, which tells callers which host to use. It
// requires no key, so that a caller can use it before it has one.
func (f *Front) hosts(w http.ResponseWriter, r *http.Request) {
	region := quetzalhook.Region(r.URL.Query().Get("region"))
	if region == "" {
		region = f.deps.Region()
	}
	writeJSON(w, HostsBody{Hosts: f.deps.Hosts(region), LifetimeMS: f.deps.HostsLifetime.Milliseconds()})
}

// modelItem is one entry of the response to GET /v1/models.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// modelsBody is the response to GET /v1/models.
type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// models serves GET /v1/models.
func (f *Front) models(w http.ResponseWriter, r *http.Request) {
	x := &exchange{front: f, w: w, r: r, id: f.requestID(), start: f.deps.Clock.Now(), doc: f.deps.Document()}
	if x.doc == nil {
		x.fail(notRunError(http.StatusServiceUnavailable, "no-configuration", "no configuration is in force yet", defaultRetryAfter))
		return
	}
	if err := x.authenticate(); err != nil {
		x.fail(err)
		return
	}
	body := modelsBody{Object: "list", Data: []modelItem{}}
	for _, m := range x.doc.Models {
		body.Data = append(body.Data, modelItem{ID: m.Name, Object: "model"})
	}
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
