package cloud

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/platform/object"
)

func (c *Cloud) getObject(w http.ResponseWriter, r *http.Request) {
	o, err := c.store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, object.NewItem(o))
}

func (c *Cloud) listObjects(w http.ResponseWriter, r *http.Request) {
	list, err := c.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	answer := object.ListItem{Items: make([]object.Item, len(list.Objects)), Version: int64(list.Version)}
	for i, o := range list.Objects {
		answer.Items[i] = object.NewItem(o)
	}
	writeJSON(w, answer)
}

func (c *Cloud) putObject(w http.ResponseWriter, r *http.Request) {
	base, ok := baseVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, quetzalhook.MaxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, err := c.store.Put(r.Context(), r.PathValue("key"), value, base)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", `"`+strconv.FormatInt(int64(version), 10)+`"`)
}

func (c *Cloud) deleteObject(w http.ResponseWriter, r *http.Request) {
	base, ok := baseVersion(w, r)
	if !ok {
		return
	}
	if err := c.store.Delete(r.Context(), r.PathValue("key"), base); err != nil {
		writeError(w, err)
	}
}

// baseVersion reads the condition of a change; a change without one is
// refused.
func baseVersion(w http.ResponseWriter, r *http.Request) (quetzalhook.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	tag := strings.Trim(r.Header.Get("If-Match"), `"`)
	version, err := strconv.ParseInt(tag, 10, 64)
	if err != nil {
		http.Error(w, "If-Match or If-None-Match: * is required", http.StatusPreconditionRequired)
		return 0, false
	}
	return quetzalhook.Version(version), true
}

func (c *Cloud) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a version", http.StatusBadRequest)
		return
	}
	watch, err := c.store.Watch(r.Context(), r.URL.Query().Get("prefix"), quetzalhook.Version(after))
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { _ = watch.Close() }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		if err := flusher.Flush(); err != nil {
			return
		}
		o, ok := <-watch.Events()
		if !ok {
			return
		}
		if err := encoder.Encode(object.NewItem(o)); err != nil {
			return
		}
	}
}

func (c *Cloud) listUpstreams(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items := object.UpstreamsItem{Upstreams: make([]object.UpstreamItem, 0, len(c.upstreams))}
	for _, u := range c.upstreams {
		items.Upstreams = append(items.Upstreams, object.UpstreamItem{
			ID: string(u.ID), Zone: string(u.Zone), Cheap: u.Cheap, State: object.StateName(u.State),
		})
	}
	for _, o := range c.orders {
		items.Orders = append(items.Orders, o.ID)
	}
	writeJSON(w, items)
}

// order takes an order: upstreams of the zone and kind become ready or gone
// until the wanted number is ready. Leaving upstreams stay as they are.
func (c *Cloud) order(w http.ResponseWriter, r *http.Request) {
	var item object.OrderItem
	if err := json.NewDecoder(r.Body).Decode(&item); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fencing, _ := strconv.ParseUint(r.Header.Get(object.HeaderFencing), 10, 64)
	c.mu.Lock()
	stale := fencing < c.fencing
	if stale && c.checkFencing {
		c.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if stale {
		c.staleOrders++
	}
	c.fencing = max(c.fencing, fencing)
	c.orders = append(c.orders, Order{OrderItem: item, Fencing: fencing, At: time.Now()})
	c.apply(item)
	lost := c.loseOrders > 0
	if lost {
		c.loseOrders--
	}
	c.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, item)
}

func (c *Cloud) apply(item object.OrderItem) {
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

func (c *Cloud) report(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, quetzalhook.MaxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	window := r.PathValue("window")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportCount++
	before, ok := c.reports[window]
	if ok && !bytes.Equal(before, body) {
		c.conflicting++
	}
	if !ok {
		c.reports[window] = body
	}
}

func (c *Cloud) listHosts(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	writeJSON(w, append([]object.HostItem{}, c.hosts...))
}

// records is the body of GET /records.
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

// faultsRequest is the body of POST /faults.
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

var kindStatus = map[quetzalhook.StoreErrorKind]int{
	quetzalhook.StoreConflict:    http.StatusPreconditionFailed,
	quetzalhook.StoreNotFound:    http.StatusNotFound,
	quetzalhook.StoreTooLarge:    http.StatusRequestEntityTooLarge,
	quetzalhook.StoreRateLimited: http.StatusTooManyRequests,
	quetzalhook.StoreUnavailable: http.StatusServiceUnavailable,
}

// writeError answers with the status of a store error. A lost answer closes
// the connection without one.
func writeError(w http.ResponseWriter, err error) {
	var e *quetzalhook.StoreError
	if !errors.As(err, &e) {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if e.Kind == quetzalhook.StoreUnknown {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, e.Error(), kindStatus[e.Kind])
}
