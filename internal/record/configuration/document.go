// Package configuration parses and validates the configuration document of a
// deployment, stores it in numbered versions, and distributes the version in
// force to all hosts.
//
// Operators write one YAML document whose field names are in kebab-case. Parse
// reports all mistakes of a document at once, each with its line and column. A
// Planner stores a changed document as a plan, together with the number of the
// version that it was compared with; the plan can be confirmed only while that
// version is in force. A Rollout on every host fetches the confirmed versions
// and applies them; it never returns to an older one.
package configuration

import "time"

// Document is the complete configuration of a deployment. Its methods return
// parts of it as types of the root package. A Document returned by Parse or by
// a Rollout must not be changed: it is shared, and its lookup index is built
// only once.
type Document struct {
	Zones     []Zone          `yaml:"zones" cbor:"1,keyasint,omitempty"`
	Distances []Distance      `yaml:"distances" cbor:"2,keyasint,omitempty"`
	Classes   []Class         `yaml:"classes" cbor:"3,keyasint,omitempty"`
	Customers []Customer      `yaml:"customers" cbor:"4,keyasint,omitempty"`
	Models    []Model         `yaml:"models" cbor:"5,keyasint,omitempty"`
	Upstreams []Upstream      `yaml:"upstreams" cbor:"6,keyasint,omitempty"`
	Routes    []Route         `yaml:"routes" cbor:"7,keyasint,omitempty"`
	Capacity  []CapacityBound `yaml:"capacity" cbor:"8,keyasint,omitempty"`
	Keys      Keys            `yaml:"keys" cbor:"9,keyasint"`
	Retention Retention       `yaml:"retention" cbor:"10,keyasint"`

	index index
}

// Zone is an availability zone.
type Zone struct {
	Name   string `yaml:"name" cbor:"1,keyasint"`
	Region string `yaml:"region" cbor:"2,keyasint"`
}

// Distance holds the one-way network delay and the traffic price between two
// regions; both directions have the same values. If From equals To, the values
// apply between the zones of that region.
type Distance struct {
	From  string        `yaml:"from" cbor:"1,keyasint"`
	To    string        `yaml:"to" cbor:"2,keyasint"`
	Delay time.Duration `yaml:"delay" cbor:"3,keyasint"`
	// PricePerGB is the price of 10^9 bytes in the operator's currency.
	PricePerGB float64 `yaml:"price-per-gb" cbor:"4,keyasint,omitempty"`
}

// Class is a request class; quetzalhook.Class explains the fields.
type Class struct {
	Name          string        `yaml:"name" cbor:"1,keyasint"`
	Tier          int           `yaml:"tier" cbor:"2,keyasint,omitempty"`
	TTFTTarget    time.Duration `yaml:"ttft-target" cbor:"3,keyasint,omitempty"`
	GapTarget     time.Duration `yaml:"gap-target" cbor:"4,keyasint,omitempty"`
	FloorShare    float64       `yaml:"floor-share" cbor:"5,keyasint,omitempty"`
	MustFinish    bool          `yaml:"must-finish" cbor:"6,keyasint,omitempty"`
	LateWorthless bool          `yaml:"late-worthless" cbor:"7,keyasint,omitempty"`
}

// Customer is one customer of the API. Its limits apply to all hosts together;
// quetzalhook.CustomerLimit explains them.
type Customer struct {
	Name         string   `yaml:"name" cbor:"1,keyasint"`
	Weight       float64  `yaml:"weight" cbor:"2,keyasint,omitempty"`
	Classes      []string `yaml:"classes" cbor:"3,keyasint,omitempty"`
	DefaultClass string   `yaml:"default-class" cbor:"4,keyasint,omitempty"`
	WorkRate     float64  `yaml:"work-rate" cbor:"5,keyasint,omitempty"`   // tokens/s
	WorkBurst    float64  `yaml:"work-burst" cbor:"6,keyasint,omitempty"`  // tokens
	Concurrency  int      `yaml:"concurrency" cbor:"7,keyasint,omitempty"` // requests
}

// Model is a language model that callers may name.
type Model struct {
	Name string `yaml:"name" cbor:"1,keyasint"`
	// ContextTokens is the maximum number of prompt and output tokens together. It
	// also limits the predicted number of output tokens; 0 means unknown.
	ContextTokens int `yaml:"context-tokens" cbor:"2,keyasint,omitempty"`
}

// Values of Upstream.Kind and Route.Kind.
const (
	KindEngine  = "engine"
	KindService = "service"
	KindChat    = "chat"
)

// Upstream is one back end: an inference engine or an instance of a service.
// quetzalhook.Upstream explains the fields.
type Upstream struct {
	Name          string   `yaml:"name" cbor:"1,keyasint"`
	Kind          string   `yaml:"kind" cbor:"2,keyasint"`
	Service       string   `yaml:"service" cbor:"3,keyasint,omitempty"`
	Address       string   `yaml:"address" cbor:"4,keyasint"`
	Zone          string   `yaml:"zone" cbor:"5,keyasint"`
	Models        []string `yaml:"models" cbor:"6,keyasint,omitempty"`
	Slots         int      `yaml:"slots" cbor:"7,keyasint"`
	TokenRate     float64  `yaml:"token-rate" cbor:"8,keyasint,omitempty"`   // tokens/s of one stream
	PrefillRate   float64  `yaml:"prefill-rate" cbor:"9,keyasint,omitempty"` // tokens/s
	Price         float64  `yaml:"price" cbor:"10,keyasint,omitempty"`       // per hour
	Cheap         bool     `yaml:"cheap" cbor:"11,keyasint,omitempty"`
	ChecksFencing bool     `yaml:"checks-fencing" cbor:"12,keyasint,omitempty"`
}

// Route maps a path prefix to chat engines or to a service.
type Route struct {
	Path       string `yaml:"path" cbor:"1,keyasint"`
	Kind       string `yaml:"kind" cbor:"2,keyasint"`
	Service    string `yaml:"service" cbor:"3,keyasint,omitempty"`
	Class      string `yaml:"class" cbor:"4,keyasint,omitempty"`
	Repeatable bool   `yaml:"repeatable" cbor:"5,keyasint,omitempty"`
	// Open lets every customer use the route's class, whatever classes are
	// listed for the customer.
	Open bool `yaml:"open" cbor:"6,keyasint,omitempty"`
}

// CapacityBound limits how many upstreams may be ordered from the platform in a
// zone.
type CapacityBound struct {
	Zone     string `yaml:"zone" cbor:"1,keyasint"`
	Min      int    `yaml:"min" cbor:"2,keyasint,omitempty"`
	Max      int    `yaml:"max" cbor:"3,keyasint,omitempty"`
	CheapMax int    `yaml:"cheap-max" cbor:"4,keyasint,omitempty"`
}

// Keys holds the settings for customers' API keys.
type Keys struct {
	// CurrencyLimit is the maximum age of a host's last contact with the store for
	// its keys to count as up to date. If the contact is older, they still do if
	// another host has had contact recently enough, or if this host is in contact
	// with all other hosts. Otherwise the host refuses requests.
	CurrencyLimit time.Duration `yaml:"currency-limit" cbor:"1,keyasint,omitempty"`
	// UnknownRetention is how long a host remembers that it refused an unknown
	// key.
	UnknownRetention time.Duration `yaml:"unknown-retention" cbor:"2,keyasint,omitempty"`
}

// Retention sets how long records are kept. It does not cover old versions of
// the configuration, of which a fixed number is kept (see WithKeptVersions), or
// frozen usage, which is never deleted.
type Retention struct {
	// Journal is the minimum time for which the journal keeps a finished call
	// that must not be repeated.
	Journal time.Duration `yaml:"journal" cbor:"1,keyasint,omitempty"`
}
