package front

import (
	"encoding/json"
	"net/http"

	"quetzalhook"
)

// HostsBody is the answer of GET /v1/hosts.
type HostsBody struct {
	// Hosts is ordered: callers use the first that answers.
	Hosts []HostAddress `json:"hosts"`
	// LifetimeMS is how long the answer may be kept, in milliseconds.
	LifetimeMS int64 `json:"lifetime-ms"`
}

// hosts tells callers which host to use. It needs no key, so that a caller
// can ask before it has one.
func (f *Front) hosts(w http.ResponseWriter, r *http.Request) {
	region := quetzalhook.Region(r.URL.Query().Get("region"))
	if region == "" {
		region = f.deps.Region()
	}
	writeJSON(w, HostsBody{Hosts: f.deps.Hosts(region), LifetimeMS: f.deps.HostsLifetime.Milliseconds()})
}

// modelItem is one entry of GET /v1/models.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// modelsBody is the answer of GET /v1/models.
type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

func (f *Front) models(w http.ResponseWriter, r *http.Request) {
	x := &exchange{front: f, w: w, r: r, id: f.requestID(), start: f.deps.Clock.Now(), doc: f.deps.Document()}
	if x.doc == nil {
		x.fail(notRun(http.StatusServiceUnavailable, "no-configuration", "no configuration is in force yet", shortRetry))
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
