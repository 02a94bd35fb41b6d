package provider

import (
	"quetzalhook"
)

// Paths and headers of the platform's HTTP API.
const (
	PathUpstreams = "/upstreams"
	PathOrders    = "/upstreams/orders"
	PathUsage     = "/usage/"
	PathHosts     = "/hosts"

	// HeaderFencing carries the fencing token of an order or a usage report.
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

// UpstreamList is the JSON form of the upstream list.
type UpstreamList struct {
	Upstreams []UpstreamItem `json:"upstreams"`
	Orders    []string       `json:"orders"` // IDs of the orders that took effect
}

// HostItem is the JSON form of one entry of the host list.
type HostItem struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Leaving     bool   `json:"leaving"`
}

// stateNames holds the JSON name of each upstream state.
var stateNames = []string{
	quetzalhook.UpstreamReady:   "ready",
	quetzalhook.UpstreamLeaving: "leaving",
	quetzalhook.UpstreamGone:    "gone",
}

// StateName returns the JSON name of a state.
func StateName(s quetzalhook.UpstreamState) string { return stateNames[s] }

// parseState returns the state with a JSON name. For an unknown name it returns
// UpstreamGone, so that the upstream gets no requests.
func parseState(name string) quetzalhook.UpstreamState {
	for s, n := range stateNames {
		if n == name {
			return quetzalhook.UpstreamState(s)
		}
	}
	return quetzalhook.UpstreamGone
}
