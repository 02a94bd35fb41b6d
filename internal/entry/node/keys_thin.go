package node

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"quetzalhook"
)

// thinKeys looks every key up in the store.
type thinKeys struct{ store quetzalhook.Store }

func newThinKeys(store quetzalhook.Store) *thinKeys { return &thinKeys{store: store} }

func (k *thinKeys) id(secret string) quetzalhook.KeyID {
	sum := sha256.Sum256([]byte(secret))
	return quetzalhook.KeyID(hex.EncodeToString(sum[:]))
}

// Lookup implements quetzalhook.KeyRing.
func (k *thinKeys) Lookup(ctx context.Context, secret string) (quetzalhook.Identity, error) {
	id := k.id(secret)
	o, err := k.store.Get(ctx, "key/"+string(id))
	if err != nil {
		return quetzalhook.Identity{}, &quetzalhook.KeyError{Kind: quetzalhook.KeyUnknown}
	}
	return quetzalhook.Identity{Key: id, Customer: quetzalhook.CustomerID(o.Value)}, nil
}

// Withdrawn implements quetzalhook.KeyRing.
func (k *thinKeys) Withdrawn(quetzalhook.KeyID) <-chan struct{} { return nil }

// Issue implements operator.Keys.
func (k *thinKeys) Issue(ctx context.Context, customer quetzalhook.CustomerID) (quetzalhook.KeyID, string, error) {
	secret := rand.Text()
	id := k.id(secret)
	_, err := k.store.Put(ctx, "key/"+string(id), []byte(customer), 0)
	return id, secret, err
}

// Withdraw implements operator.Keys.
func (k *thinKeys) Withdraw(ctx context.Context, id quetzalhook.KeyID) error {
	o, err := k.store.Get(ctx, "key/"+string(id))
	if err != nil {
		return err
	}
	return k.store.Delete(ctx, o.Key, o.Version)
}
