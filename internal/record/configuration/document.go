// Package configuration defines the operator's document, moves it from plan
// to confirmed version, and rolls confirmed versions out to all hosts.
//
// Operators write one YAML document in kebab-case. Parse lists every mistake
// of a document at once, each with its line and column. A Planner stores a
// plan against the version it was made from and confirms it only from there;
// a Rollout on every host follows the confirmed versions, only forward.
package configuration

import "time"

// Document is the whole desired state of a deployment. Accessors convert its
// parts to the types of the root package. A Document that came from Parse or
// from a Rollout must not be changed.
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

// Distance is the one-way delay and the traffic price between two regions, in
// both directions. With From equal to To it holds between the zones of one
// region.
type Distance struct {
	From  string        `yaml:"from" cbor:"1,keyasint"`
	To    string        `yaml:"to" cbor:"2,keyasint"`
	Delay time.Duration `yaml:"delay" cbor:"3,keyasint"`
	// PricePerGB is the price of 10^9 bytes in the operator's currency.
	PricePerGB float64 `yaml:"price-per-gb" cbor:"4,keyasint,omitempty"`
}

// Class is a request class.
type Class struct {
	Name          string        `yaml:"name" cbor:"1,keyasint"`
	Tier          int           `yaml:"tier" cbor:"2,keyasint,omitempty"`
	TTFTTarget    time.Duration `yaml:"ttft-target" cbor:"3,keyasint,omitempty"`
	GapTarget     time.Duration `yaml:"gap-target" cbor:"4,keyasint,omitempty"`
	FloorShare    float64       `yaml:"floor-share" cbor:"5,keyasint,omitempty"`
	MustFinish    bool          `yaml:"must-finish" cbor:"6,keyasint,omitempty"`
	LateWorthless bool          `yaml:"late-worthless" cbor:"7,keyasint,omitempty"`
}

// Customer is a caller with its limits over all hosts.
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
	// ContextTokens bounds prompt and output together, and with it the
	// predicted length of an answer; 0 means unknown.
	ContextTokens int `yaml:"context-tokens" cbor:"2,keyasint,omitempty"`
}

// Values of Upstream.Kind and Route.Kind.
const (
	KindEngine  = "engine"
	KindService = "service"
	KindChat    = "chat"
)

// Upstream is one back end.
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
	Price         float64  `yaml:"price" cbor:"10,keyasint,omitempty"`       // for one hour
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
	// Open admits every customer, whatever classes it may use.
	Open bool `yaml:"open" cbor:"6,keyasint,omitempty"`
}

// CapacityBound limits the upstreams that may be ordered in a zone.
type CapacityBound struct {
	Zone     string `yaml:"zone" cbor:"1,keyasint"`
	Min      int    `yaml:"min" cbor:"2,keyasint,omitempty"`
	Max      int    `yaml:"max" cbor:"3,keyasint,omitempty"`
	CheapMax int    `yaml:"cheap-max" cbor:"4,keyasint,omitempty"`
}

// Keys holds the settings of customer keys.
type Keys struct {
	// CurrencyLimit is how long a host may serve without store contact while
	// other hosts are missing.
	CurrencyLimit time.Duration `yaml:"currency-limit" cbor:"1,keyasint,omitempty"`
	// UnknownRetention is how long a refused unknown key is remembered.
	UnknownRetention time.Duration `yaml:"unknown-retention" cbor:"2,keyasint,omitempty"`
}

// Retention says how long records are kept. Old versions of the configuration
// are kept by number, see WithKeptVersions; frozen usage is kept for good.
type Retention struct {
	// Journal is how long a finished call that may not be repeated is
	// remembered at least.
	Journal time.Duration `yaml:"journal" cbor:"1,keyasint,omitempty"`
}
