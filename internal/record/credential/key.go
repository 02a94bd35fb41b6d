// Package credential issues, withdraws and looks up customer keys.
//
// A key is a random string that is never stored. Only its SHA-256 hash is kept,
// in the store objects key/SHARD and in the memory of every host.
//
// The set of withdrawn keys only grows. A withdrawal takes effect immediately
// on the host that accepts it. That host sends it to all other hosts, even
// while the store is down, and writes it to the store as soon as it can. Hosts
// compare digests of their withdrawn keys and pull the ones that they lack. A
// host that may lack withdrawals must refuse requests; see Registry.Current.
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

// keyPrefix lets scanners for leaked secrets recognise keys of this system.
const keyPrefix = "qh_"

// ID identifies a key without revealing it: it is the first half of the key's
// SHA-256 hash. It may appear in logs and operator commands.
type ID [sha256.Size / 2]byte

// String returns the identifier as hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID parses the hexadecimal form that String returns.
func ParseID(s string) (ID, error) {
	var id ID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(id) {
		return id, &Error{Op: "parse id", Kind: ErrorInvalid, Err: fmt.Errorf("%q is not %d hexadecimal digits", s, 2*len(id))}
	}
	return ID(b), nil
}

// shard returns the index of the shard that holds the key.
func (id ID) shard() int { return int(id[0]) % shardCount }

// shardCount is the number of store objects that the keys are divided among.
// With 51,000 keys of 17,000 customers, each object holds about 800 records of
// 60 bytes.
const shardCount = 64

// storePrefix is the prefix of the store keys of all shards and of the index.
const storePrefix = "key/"

func shardKey(n int) string { return fmt.Sprintf("%s%02x", storePrefix, n) }

// shardOf parses a store key and returns the index of the shard that it names.
func shardOf(key string) (int, bool) {
	name, ok := strings.CutPrefix(key, storePrefix)
	n, err := strconv.ParseUint(name, 16, 8)
	return int(n), ok && err == nil && n < shardCount && len(name) == 2
}

// newKey returns a random key and its hash.
func newKey() (string, [sha256.Size]byte) {
	var b [32]byte
	_, _ = rand.Read(b[:]) // documented never to return an error
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
	return key, sha256.Sum256([]byte(key))
}

// record is one issued key.
type record struct {
	Hash     [sha256.Size]byte `cbor:"1,keyasint"`
	Customer string            `cbor:"2,keyasint"`
}

func (r record) id() ID { return ID(r.Hash[:len(ID{})]) }

// shard is the content of one store object, and of an answer to a pull.
type shard struct {
	Records   []record `cbor:"1,keyasint,omitempty"`
	Withdrawn []ID     `cbor:"2,keyasint,omitempty"`
	// Pending holds withdrawals that are not in the store yet. It is only sent
	// between hosts and never stored.
	Pending []ID `cbor:"3,keyasint,omitempty"`
}

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorInvalid reports a malformed identifier.
	ErrorInvalid ErrorKind = "invalid"
	// ErrorNotFound reports that no key has the identifier.
	ErrorNotFound ErrorKind = "not-found"
	// ErrorUnavailable reports that a call to the store or to a peer failed.
	ErrorUnavailable ErrorKind = "unavailable"
	// ErrorCorrupt reports data that cannot be encoded or decoded.
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

// Identity is the ID and the availability zone of the host on which a Registry
// runs.
type Identity struct {
	Host quetzalhook.HostID
	Zone quetzalhook.Zone
}
