package operator

import (
	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// Status is the state of the whole system as one host sees it.
type Status struct {
	Host       quetzalhook.HostID `json:"host"` // the host that responded
	Version    int64              `json:"configuration-version"`
	Hosts      []HostRow          `json:"hosts"`
	Upstreams  []UpstreamRow      `json:"upstreams"`
	Queues     []QueueRow         `json:"queues"`
	Roles      []RoleRow          `json:"roles"`
	Invariants []invariant.Count  `json:"invariants"` // of the host that responded
}

// HostRow describes a host.
type HostRow struct {
	Host        quetzalhook.HostID      `json:"host"`
	Incarnation quetzalhook.Incarnation `json:"incarnation"`
	Zone        quetzalhook.Zone        `json:"zone"`
	Address     string                  `json:"address"`
	State       string                  `json:"state"` // "starting", "serving", "draining" or "silent"
	SilentMS    int64                   `json:"silent-ms"`
	Version     int64                   `json:"configuration-version"`
	StoreAgeMS  int64                   `json:"store-age-ms"`
	Free        float64                 `json:"free"`
}

// UpstreamRow describes an upstream.
type UpstreamRow struct {
	ID       quetzalhook.UpstreamID `json:"upstream"`
	Zone     quetzalhook.Zone       `json:"zone"`
	Kind     string                 `json:"kind"`
	State    string                 `json:"state"`
	Cheap    bool                   `json:"cheap"`
	Slots    int                    `json:"slots"`
	InFlight int                    `json:"in-flight"` // requests of all hosts
}

// QueueRow holds the predicted work of one tier, in tokens, summed over all hosts.
type QueueRow struct {
	Tier    int     `json:"tier"`
	Waiting float64 `json:"waiting-tokens"`
	Running float64 `json:"running-tokens"`
}

// RoleRow describes a role: a task that only the holder of its lease performs.
type RoleRow struct {
	Role    string             `json:"role"`
	Holder  quetzalhook.HostID `json:"holder"`
	Fencing uint64             `json:"fencing"`
	// Intents lists the IDs of orders whose outcome is not known yet.
	Intents []string `json:"open-intents,omitempty"`
}
