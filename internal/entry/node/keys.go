package node

import (
	"context"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/record/credential"
)

// keyRing adapts a credential.Registry to quetzalhook.KeyRing, which checks the keys of
// callers, and to operator.Keys, which issues and withdraws keys.
type keyRing struct {
	registry *credential.Registry
	clock    quetzalhook.Clock
}

// Lookup implements quetzalhook.KeyRing.
func (k *keyRing) Lookup(_ context.Context, secret string) (quetzalhook.Identity, error) {
	if current, _ := k.registry.Current(k.clock.Now()); !current {
		return quetzalhook.Identity{}, &quetzalhook.KeyError{Kind: quetzalhook.KeyNotCurrent}
	}
	customer, id, ok := k.registry.Lookup(secret)
	if !ok && k.registry.IsUnresolved(id) {
		return quetzalhook.Identity{}, &quetzalhook.KeyError{Kind: quetzalhook.KeyNotCurrent}
	}
	if !ok {
		return quetzalhook.Identity{}, &quetzalhook.KeyError{Kind: quetzalhook.KeyUnknown}
	}
	return quetzalhook.Identity{Key: quetzalhook.KeyID(id.String()), Customer: customer}, nil
}

// Withdrawn implements quetzalhook.KeyRing. A malformed ID counts as withdrawn.
func (k *keyRing) Withdrawn(id quetzalhook.KeyID) (<-chan struct{}, func()) {
	parsed, err := credential.ParseID(string(id))
	if err != nil {
		closed := make(chan struct{})
		close(closed)
		return closed, func() {}
	}
	return k.registry.Withdrawn(parsed)
}

// CheckOpen implements quetzalhook.KeyRing.
func (k *keyRing) CheckOpen(id quetzalhook.KeyID) {
	if parsed, err := credential.ParseID(string(id)); err == nil {
		k.registry.CheckOpen(parsed)
	}
}

// Issue implements operator.Keys.
func (k *keyRing) Issue(ctx context.Context, customer quetzalhook.CustomerID) (quetzalhook.KeyID, string, error) {
	secret, id, err := k.registry.Issue(ctx, customer)
	return quetzalhook.KeyID(id.String()), secret, err
}

// Withdraw implements operator.Keys.
func (k *keyRing) Withdraw(ctx context.Context, id quetzalhook.KeyID) (bool, []quetzalhook.HostID, error) {
	parsed, err := credential.ParseID(string(id))
	if err != nil {
		return false, nil, errors.WithStack(err)
	}
	result, err := k.registry.Withdraw(ctx, parsed)
	return result.Persisted, result.Missed, err
}
