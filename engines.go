package quetzalhook

import "context"

// ModelOrder tells an engine to load a model.
type ModelOrder struct {
	ID      string // unique identifier of the order, chosen by the sender
	Model   Model
	Fencing uint64 // fencing token of the sender's lease
}

// CacheLister lists the prompt parts that an engine has cached.
type CacheLister interface {
	// CachedParts returns the cached parts by model. The call delays the engine's
	// other work.
	CachedParts(ctx context.Context, u Upstream) (map[Model][]PromptPart, error)
}

// Engines sends orders to model engines and reads their state.
type Engines interface {
	// Models returns the models that an engine has loaded.
	Models(ctx context.Context, u UpstreamID) ([]Model, error)
	// Orders returns the identifiers of orders that reached an engine.
	Orders(ctx context.Context, u UpstreamID) ([]string, error)
	// Load sends an order to load a model. Its error is a *StoreError whose kind
	// tells whether the order may have taken effect.
	Load(ctx context.Context, u UpstreamID, o ModelOrder) error
}
