// Package chart runs state machines that are described by state charts in YAML
// files.
//
// A chart lists its states and, for each state, the events that it accepts and
// the state that follows. A Machine is one running instance of a chart. An
// event that the current state does not accept leaves the state unchanged,
// returns an error and is recorded as a violation of the invariant
// legal-transition.
package chart

import (
	"embed"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
)

// Names of the embedded charts.
const (
	Host     = "host"
	Upstream = "upstream"
	Lease    = "lease"
	Request  = "request"
)

//go:embed charts/*.yaml
var files embed.FS

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Chart is a parsed chart. It is immutable and safe for concurrent use.
type Chart struct {
	name    string
	initial State
	states  map[State]state
}

type state struct {
	final bool
	on    map[Event]State
}

// document is the YAML structure of a chart file.
type document struct {
	Name    string          `yaml:"name"`
	Initial State           `yaml:"initial"`
	States  []documentState `yaml:"states"`
}

type documentState struct {
	Name  State           `yaml:"name"`
	Final bool            `yaml:"final"`
	On    map[Event]State `yaml:"on"`
}

// Load returns the embedded chart with the given name, which is one of the
// constants of this package.
func Load(name string) (*Chart, error) {
	data, err := files.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindUnknownChart, Chart: name, Err: err}
	}
	return Parse(data)
}

// Parse reads a chart from YAML. It returns an error for unknown fields,
// transitions to undeclared states, unreachable states, and states without
// events that are not final.
func Parse(data []byte) (*Chart, error) {
	var d document
	if err := yaml.UnmarshalWithOptions(data, &d, yaml.Strict()); err != nil {
		return nil, &Error{Op: "parse", Kind: KindInvalid, Err: err}
	}
	c := &Chart{name: d.Name, initial: d.Initial, states: make(map[State]state, len(d.States))}
	for _, s := range d.States {
		if _, ok := c.states[s.Name]; ok {
			return nil, c.invalid("state %q is declared twice", s.Name)
		}
		c.states[s.Name] = state{final: s.Final, on: s.On}
	}
	if err := c.validate(d.States); err != nil {
		return nil, err
	}
	return c, nil
}

// validate checks the name, the initial state and the states in the order of
// the file.
func (c *Chart) validate(order []documentState) error {
	if c.name == "" {
		return c.invalid("the chart has no name")
	}
	if _, ok := c.states[c.initial]; !ok {
		return c.invalid("initial state %q is not declared", c.initial)
	}
	reached := c.reachable()
	for _, s := range order {
		for event, to := range s.On {
			if _, ok := c.states[to]; !ok {
				return c.invalid("event %q of state %q leads to undeclared state %q", event, s.Name, to)
			}
		}
		if s.Final != (len(s.On) == 0) {
			return c.invalid("state %q must be either final or have events", s.Name)
		}
		if !slices.Contains(reached, s.Name) {
			return c.invalid("state %q cannot be reached", s.Name)
		}
	}
	return nil
}

// reachable returns the states that can be reached from the initial one,
// including it.
func (c *Chart) reachable() []State {
	reached := []State{c.initial}
	for i := 0; i < len(reached); i++ {
		for _, to := range c.states[reached[i]].on {
			if !slices.Contains(reached, to) {
				reached = append(reached, to)
			}
		}
	}
	return reached
}

func (c *Chart) invalid(format string, args ...any) error {
	return &Error{Op: "parse", Kind: KindInvalid, Chart: c.name, Err: fmt.Errorf(format, args...)}
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// Initial returns the state in which a machine starts.
func (c *Chart) Initial() State { return c.initial }

// Next returns the state that follows s on event e, or false if s does not
// accept e.
func (c *Chart) Next(s State, e Event) (State, bool) {
	to, ok := c.states[s].on[e]
	return to, ok
}

// IsFinal reports whether s accepts no event.
func (c *Chart) IsFinal(s State) bool { return c.states[s].final }
