package quetzalhook

import "context"

// CallJournal ensures that a call that may not be repeated is sent at most
// once.
type CallJournal interface {
	// Claim decides whether the call may be sent.
	Claim(ctx context.Context, c JournalCall) (JournalClaim, error)
	// Finish stores the response, which is returned for later calls with the
	// same key.
	Finish(ctx context.Context, c JournalClaim, response []byte) error
	// Release gives up a claim whose call was certainly not sent, so that the
	// caller may try again with the same key.
	Release(ctx context.Context, c JournalClaim) error
	// Abandon ends a claim whose outcome will never be known. Later calls with
	// the key get JournalUnknown.
	Abandon(c JournalClaim)
}

// JournalCall identifies a call that may not be repeated.
type JournalCall struct {
	Customer    CustomerID
	Route       string
	Key         string // the caller's Idempotency-Key
	Fingerprint []byte // hash of method, path and body
}

// JournalState is the result of a claim.
type JournalState uint8

const (
	// JournalClaimed lets this host send the call, once.
	JournalClaimed JournalState = iota + 1
	// JournalReplay reports that the call is finished; the claim has its stored
	// response.
	JournalReplay
	// JournalUnknown reports that an earlier call has no known outcome.
	JournalUnknown
	// JournalMismatch reports that the key was used before with a different
	// request.
	JournalMismatch
)

// JournalClaim is the result of CallJournal.Claim.
type JournalClaim struct {
	State    JournalState
	ID       string
	Response []byte // for JournalReplay
}
