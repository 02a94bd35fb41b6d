package provider

import (
	"quetzalhook"
)

// Paths and headers of the interface.
const (
	PathUpstreams = "/upstreams"
	PathOrders    = "/upstreams/orders"
	PathUsage     = "/usage/"
	PathHosts     = "/hosts"

	// HeaderFencing carries the fencing number of an order or a report.
	HeaderFencing = "Fencing-Token"
)

// OrderItem is the JSON form of an order for upstreams.
type OrderItem struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Cheap bool   `json:"cheap"`
	Count int    `json:"count"`
}

// UpstreamItem is the JSON form of one entry of the platform's upstream list.
type UpstreamItem struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Cheap bool   `json:"cheap"`
	State string `json:"state"` // "ready", "leaving" or "gone"
}

// UpstreamsItem is the JSON form of the upstream list.
type UpstreamsItem struct {
	Upstreams []UpstreamItem `json:"upstreams"`
	Orders    []string       `json:"orders"` // identifiers of orders in effect
}

// HostItem is the JSON form of one entry of the host list.
type HostItem struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Leaving     bool   `json:"leaving"`
}

var stateNames = []string{
	quetzalhook.UpstreamReady:   "ready",
	quetzalhook.UpstreamLeaving: "leaving",
	quetzalhook.UpstreamGone:    "gone",
}

// StateName returns the JSON name of a state.
func StateName(s quetzalhook.UpstreamState) string { return stateNames[s] }

// parseState returns the state of a JSON name; an unknown name is
// UpstreamGone, so that no work goes to it.
func parseState(name string) quetzalhook.UpstreamState {
	for s, n := range stateNames {
		if n == name {
			return quetzalhook.UpstreamState(s)
		}
	}
	return quetzalhook.UpstreamGone
}
