// Package credential issues, withdraws and looks up customer keys.
//
// A key is random and stored nowhere; only its SHA-256 is kept, in the store's
// objects key/SHARD and in the memory of every host. Withdrawals only grow:
// a withdrawal takes effect on the host that accepts it, spreads to all others
// at once, also while the store is down, and is persisted later. Hosts compare
// digests of their withdrawn keys and pull what they miss. A host that cannot
// show that it knows all withdrawals refuses requests, see Registry.Current.
package credential

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"quetzalhook"
)

// keyPrefix marks keys of this system, so that scanners of leaked secrets can
// recognise them.
const keyPrefix = "qh_"

// ID identifies a key without revealing it: the first half of its hash. It may
// appear in logs and operator commands.
type ID [sha256.Size / 2]byte

// String returns the identifier in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID reads an identifier in the form that String returns.
func ParseID(s string) (ID, error) {
	var id ID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(id) {
		return id, &Error{Op: "parse id", Kind: ErrorInvalid, Err: fmt.Errorf("%q is not %d hexadecimal digits", s, 2*len(id))}
	}
	return ID(b), nil
}

// shard returns the index of the store object that holds the key.
func (id ID) shard() int { return int(id[0]) % shardCount }

// shardCount is the number of store objects. With 51,000 keys of 17,000
// customers an object has about 800 records of 60 bytes.
const shardCount = 64

// storePrefix is the prefix of the store objects.
const storePrefix = "key/"

func shardKey(n int) string { return fmt.Sprintf("%s%02x", storePrefix, n) }

// shardOf returns the shard that a store key names.
func shardOf(key string) (int, bool) {
	name, ok := strings.CutPrefix(key, storePrefix)
	n, err := strconv.ParseUint(name, 16, 8)
	return int(n), ok && err == nil && n < shardCount && len(name) == 2
}

// newKey returns a random key and its hash.
func newKey() (string, [sha256.Size]byte) {
	var b [32]byte
	_, _ = rand.Read(b[:]) // never fails, as documented
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
	return key, sha256.Sum256([]byte(key))
}

// record is one issued key.
type record struct {
	Hash     [sha256.Size]byte `cbor:"1,keyasint"`
	Customer string            `cbor:"2,keyasint"`
}

func (r record) id() ID { return ID(r.Hash[:len(ID{})]) }

// shard is the content of one store object.
type shard struct {
	Records   []record `cbor:"1,keyasint,omitempty"`
	Withdrawn []ID     `cbor:"2,keyasint,omitempty"`
	// Pending holds withdrawals that are not in the store yet; only hosts send
	// it to each other.
	Pending []ID `cbor:"3,keyasint,omitempty"`
}

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorInvalid reports a malformed identifier.
	ErrorInvalid ErrorKind = "invalid"
	// ErrorNotFound reports that no key has the identifier.
	ErrorNotFound ErrorKind = "not-found"
	// ErrorUnavailable reports that the store did not answer.
	ErrorUnavailable ErrorKind = "unavailable"
	// ErrorCorrupt reports bytes that do not decode.
	ErrorCorrupt ErrorKind = "corrupt"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	s := "credential " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Identity names the host on which a Registry runs.
type Identity struct {
	Host quetzalhook.HostID
	Zone quetzalhook.Zone
}
