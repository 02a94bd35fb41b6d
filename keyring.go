package quetzalhook

import "context"

// KeyID identifies a customer's key without revealing it.
type KeyID string

// Identity is the owner of a key.
type Identity struct {
	Key      KeyID
	Customer CustomerID
}

// KeyErrorKind classifies why a key is refused.
type KeyErrorKind string

const (
	// KeyUnknown reports a key that, as far as the host knows, was never issued.
	KeyUnknown KeyErrorKind = "unknown-key"
	// KeyWithdrawn reports a withdrawn key.
	KeyWithdrawn KeyErrorKind = "withdrawn-key"
	// KeyNotCurrent reports that the host cannot be sure to know the latest
	// withdrawals.
	KeyNotCurrent KeyErrorKind = "keys-not-current"
)

// KeyError is the error of KeyRing.Lookup.
type KeyError struct {
	Kind KeyErrorKind
	Key  KeyID
}

// Error implements error.
func (e *KeyError) Error() string { return "key refused: " + string(e.Kind) }

// KeyRing looks up the keys of all customers.
type KeyRing interface {
	// Lookup returns the owner of a caller's key, or a *KeyError.
	Lookup(ctx context.Context, secret string) (Identity, error)
	// Withdrawn returns a channel that is closed when the key is withdrawn.
	// Release frees it.
	Withdrawn(id KeyID) (withdrawn <-chan struct{}, release func())
	// CheckOpen counts one check of the invariant that no stream stays open
	// after the withdrawal of its key.
	CheckOpen(id KeyID)
}
