package cloud

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/platform/provider"
)

func (c *Cloud) listUpstreams(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items := provider.UpstreamList{Upstreams: make([]provider.UpstreamItem, 0, len(c.upstreams))}
	for _, u := range c.upstreams {
		items.Upstreams = append(items.Upstreams, provider.UpstreamItem{
			ID: string(u.ID), Zone: string(u.Zone), Cheap: u.Cheap, State: provider.StateName(u.State),
		})
	}
	for _, o := range c.orders {
		items.Orders = append(items.Orders, o.ID)
	}
	writeJSON(w, items)
}

// postOrder records an order and applies it, unless its fencing token is stale and
// WithFencing is set.
func (c *Cloud) postOrder(w http.ResponseWriter, r *http.Request) {
	var item provider.OrderItem
	if err := json.NewDecoder(r.Body).Decode(&item); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fencing, _ := strconv.ParseUint(r.Header.Get(provider.HeaderFencing), 10, 64)
	c.mu.Lock()
	stale := fencing < c.maxFencing
	if stale && c.checksFencing {
		c.mu.Unlock()
		http.Error(w, "fencing token is lower than an earlier one", http.StatusConflict)
		return
	}
	if stale {
		c.staleOrders++
	}
	c.maxFencing = max(c.maxFencing, fencing)
	c.orders = append(c.orders, Order{OrderItem: item, Fencing: fencing, At: time.Now()})
	c.applyOrder(item)
	lost := c.answersToLose > 0
	if lost {
		c.answersToLose--
	}
	c.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, item)
}

// applyOrder makes the first item.Count engines of the ordered zone and kind (cheap
// or regular) ready and the others gone. Leaving engines are not counted and keep
// their state.
func (c *Cloud) applyOrder(item provider.OrderItem) {
	ready := 0
	for i := range c.upstreams {
		u := &c.upstreams[i]
		if u.Kind != quetzalhook.KindEngine || u.Zone != quetzalhook.Zone(item.Zone) || u.Cheap != item.Cheap || u.State == quetzalhook.UpstreamLeaving {
			continue
		}
		if ready < item.Count {
			u.State = quetzalhook.UpstreamReady
			ready++
		} else {
			u.State = quetzalhook.UpstreamGone
		}
	}
}

func (c *Cloud) postReport(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, quetzalhook.MaxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	window := r.PathValue("window")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportCount++
	first, ok := c.reports[window]
	if ok && !bytes.Equal(first, body) {
		c.conflictingReports++
	}
	if !ok {
		c.reports[window] = body
	}
}

func (c *Cloud) listHosts(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	writeJSON(w, append([]provider.HostItem{}, c.hosts...))
}

// records is the response body of GET /records.
type records struct {
	Orders             int `json:"orders"`
	StaleOrders        int `json:"stale-orders"`
	Reports            int `json:"reports"`
	ConflictingReports int `json:"conflicting-reports"`
}

func (c *Cloud) getRecords(w http.ResponseWriter, _ *http.Request) {
	received, conflicting := c.Reports()
	writeJSON(w, records{
		Orders: len(c.Orders()), StaleOrders: c.StaleOrders(), Reports: received, ConflictingReports: conflicting,
	})
}

// faultsRequest is the request body of POST /faults. A field that is absent is
// reset.
type faultsRequest struct {
	Outage        bool   `json:"outage"`
	DelayMS       int    `json:"delay-ms"`
	LoseAnswers   int    `json:"lose-answers"`
	LosePrefix    string `json:"lose-prefix"`
	StaleReads    bool   `json:"stale-reads"`
	SilentWatches bool   `json:"silent-watches"`
}

func (c *Cloud) postFaults(w http.ResponseWriter, r *http.Request) {
	var f faultsRequest
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.store.SetFaults(memory.Faults{
		Outage: f.Outage, Delay: time.Duration(f.DelayMS) * time.Millisecond, LoseAnswers: f.LoseAnswers,
		LosePrefix: f.LosePrefix, StaleReads: f.StaleReads, SilentWatches: f.SilentWatches,
	})
}

var statesByName = map[string]quetzalhook.UpstreamState{
	"ready": quetzalhook.UpstreamReady, "leaving": quetzalhook.UpstreamLeaving, "gone": quetzalhook.UpstreamGone,
}

func (c *Cloud) postState(w http.ResponseWriter, r *http.Request) {
	state, ok := statesByName[r.URL.Query().Get("state")]
	if !ok {
		http.Error(w, "state is not ready, leaving or gone", http.StatusBadRequest)
		return
	}
	if !c.SetUpstreamState(quetzalhook.UpstreamID(r.PathValue("id")), state) {
		http.Error(w, "no such upstream", http.StatusNotFound)
	}
}
