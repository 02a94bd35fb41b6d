package quetzalhook

import "time"

// Class describes a request class: its tier and its service level.
type Class struct {
	name          ClassName
	tier          Tier
	ttftTarget    time.Duration
	gapTarget     time.Duration
	floorShare    float64
	mustFinish    bool
	lateWorthless bool
}

// ClassOption sets one property of a Class.
type ClassOption func(*Class)

// WithTTFTTarget sets the latest time to the first token that meets the
// service level. For calls to services it covers the whole response.
func WithTTFTTarget(d time.Duration) ClassOption {
	return func(c *Class) { c.ttftTarget = d }
}

// WithGapTarget sets the longest mean time between tokens that meets the
// service level; 0 sets no target.
func WithGapTarget(d time.Duration) ClassOption {
	return func(c *Class) { c.gapTarget = d }
}

// WithFloorShare sets the fraction of all slots, from 0 to 1, that the class
// receives over time while it has waiting work.
func WithFloorShare(f float64) ClassOption {
	return func(c *Class) { c.floorShare = f }
}

// WithMustFinish marks a class whose accepted requests always finish.
func WithMustFinish() ClassOption {
	return func(c *Class) { c.mustFinish = true }
}

// WithLateWorthless marks a class whose answers have no value if the first
// token misses its target; requests that cannot meet the target are refused or
// stopped.
func WithLateWorthless() ClassOption {
	return func(c *Class) { c.lateWorthless = true }
}

// NewClass returns a class of the given tier.
func NewClass(name ClassName, tier Tier, opts ...ClassOption) Class {
	c := Class{name: name, tier: tier}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Name returns the name of the class.
func (c Class) Name() ClassName { return c.name }

// Tier returns the priority level.
func (c Class) Tier() Tier { return c.tier }

// TTFTTarget returns the target for the first token; 0 means no target.
func (c Class) TTFTTarget() time.Duration { return c.ttftTarget }

// GapTarget returns the target for the mean gap between tokens; 0 means none.
func (c Class) GapTarget() time.Duration { return c.gapTarget }

// FloorShare returns the guaranteed fraction of slots, from 0 to 1.
func (c Class) FloorShare() float64 { return c.floorShare }

// MustFinish reports whether accepted requests always finish.
func (c Class) MustFinish() bool { return c.mustFinish }

// LateWorthless reports whether late answers have no value.
func (c Class) LateWorthless() bool { return c.lateWorthless }

// IsUrgent reports whether the class is in the most urgent tier.
func (c Class) IsUrgent() bool { return c.tier == TierUrgent }
