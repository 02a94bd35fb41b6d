package lease

import (
	"context"

	"quetzalhook"
)

// State is the state of a role in the store.
type State struct {
	Holder  quetzalhook.HostID // empty after a release, but not when a term ends without one
	Fencing uint64
	Open    []Intent
}

// Read reads the state of a role from the store without competing for it.
func Read(ctx context.Context, store quetzalhook.Store, role string) (State, error) {
	o, err := store.Get(ctx, "lease/"+role)
	if err != nil {
		return State{}, &Error{Op: "read", Role: role, Kind: KindStore, Err: err}
	}
	d, err := decode(o.Value)
	if err != nil {
		return State{}, &Error{Op: "read", Role: role, Kind: KindStore, Err: err}
	}
	return State{Holder: d.Holder, Fencing: d.Fencing, Open: d.Intents}, nil
}
