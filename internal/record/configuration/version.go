package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
)

// Keys and key prefixes in the store.
const (
	headKey       = "configuration/head"
	versionPrefix = "configuration/version/"
	planPrefix    = "configuration/plan/"
	shardPrefix   = "configuration/shard/"
)

const (
	// inlineLimit is the size in bytes up to which an encoded document is
	// stored as one value, within the head. It is below quetzalhook.MaxValueSize
	// because every host fetches the whole value after each change: at 10,000
	// changes a day, 64 KiB cost 7.6 KB/s.
	inlineLimit = 64 << 10
	// shardCount is the number of shards for the customers and upstreams of a
	// larger document. It must not change with the size of the document: with another
	// number, almost every entry would move to another shard.
	shardCount = 256
)

// Hash is the SHA-256 hash of an encoded shard. It identifies the shard in the
// store and in manifests.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Manifest holds an encoded document or, if it is large, the hashes of the shards
// that make it up.
type Manifest struct {
	Inline []byte `cbor:"1,keyasint,omitempty"`
	Shards []Hash `cbor:"2,keyasint,omitempty"`
}

// Head describes a version. The object under headKey holds the version in force;
// the version record of each version has the same format.
type Head struct {
	Number   int64    `cbor:"1,keyasint"`
	Plan     string   `cbor:"2,keyasint"` // ID of the plan that was confirmed
	Manifest Manifest `cbor:"3,keyasint"`
}

// Plan is a stored document that may be confirmed while version Base is in force.
// Difference lists its changes from that version.
type Plan struct {
	ID         string   `cbor:"1,keyasint"`
	Base       int64    `cbor:"2,keyasint"`
	Manifest   Manifest `cbor:"3,keyasint"`
	Difference []string `cbor:"4,keyasint,omitempty"`
}

// encodeDocument returns the manifest of a document and, if the encoded document
// is larger than limit in bytes, its encoded shards.
func encodeDocument(d *Document, limit int) (Manifest, map[Hash][]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return Manifest{}, nil, &Error{Op: "encode", Kind: ErrorInvalid, Err: err}
	}
	if len(data) <= limit {
		return Manifest{Inline: data}, nil, nil
	}
	var m Manifest
	shards := make(map[Hash][]byte)
	for _, part := range splitDocument(d) {
		value, err := cbor.Marshal(part)
		if err == nil && len(value) > quetzalhook.MaxValueSize {
			err = fmt.Errorf("shard of %d bytes is over %d", len(value), quetzalhook.MaxValueSize)
		}
		if err != nil {
			return Manifest{}, nil, &Error{Op: "encode", Kind: ErrorInvalid, Err: err}
		}
		h := Hash(sha256.Sum256(value))
		m.Shards = append(m.Shards, h)
		shards[h] = value
	}
	return m, shards, nil
}

// splitDocument divides a document into shardCount+1 parts. The first part holds
// everything except customers and upstreams, which are distributed over the other
// parts by the hash of their name.
func splitDocument(d *Document) []*Document {
	parts := make([]*Document, shardCount+1)
	rest := *d
	rest.Customers, rest.Upstreams, rest.index = nil, nil, index{}
	parts[0] = &rest
	for i := range shardCount {
		parts[i+1] = &Document{}
	}
	for _, c := range d.Customers {
		p := parts[1+xxhash.Sum64String(c.Name)%shardCount]
		p.Customers = append(p.Customers, c)
	}
	for _, u := range d.Upstreams {
		p := parts[1+xxhash.Sum64String(u.Name)%shardCount]
		p.Upstreams = append(p.Upstreams, u)
	}
	for _, p := range parts[1:] {
		slices.SortFunc(p.Customers, func(a, b Customer) int { return strings.Compare(a.Name, b.Name) })
		slices.SortFunc(p.Upstreams, func(a, b Upstream) int { return strings.Compare(a.Name, b.Name) })
	}
	return parts
}

// shardCache holds the shards of one version, so that only the changed shards of
// the next version have to be fetched. It is not safe for concurrent use.
type shardCache struct {
	encoded map[Hash][]byte
	decoded map[Hash]*Document
}

func newShardCache() *shardCache {
	return &shardCache{encoded: make(map[Hash][]byte), decoded: make(map[Hash]*Document)}
}

// missing returns the hashes of the shards of m that are not in the cache,
// without duplicates.
func (c *shardCache) missing(m Manifest) []Hash {
	var list []Hash
	seen := make(map[Hash]bool)
	for _, h := range m.Shards {
		if _, ok := c.encoded[h]; !ok && !seen[h] {
			seen[h] = true
			list = append(list, h)
		}
	}
	return list
}

// add checks the hash of a shard, decodes it and adds it to the cache.
func (c *shardCache) add(h Hash, value []byte) error {
	if Hash(sha256.Sum256(value)) != h {
		return &Error{Op: "read shard", Kind: ErrorCorrupt, Err: fmt.Errorf("wrong hash for %s", h)}
	}
	part := &Document{}
	if err := cbor.Unmarshal(value, part); err != nil {
		return &Error{Op: "read shard", Kind: ErrorCorrupt, Err: err}
	}
	c.encoded[h], c.decoded[h] = bytes.Clone(value), part
	return nil
}

// assemble returns the document of a manifest. All its shards must be in the
// cache.
func (c *shardCache) assemble(m Manifest) (*Document, error) {
	d := &Document{}
	if len(m.Shards) == 0 {
		if err := cbor.Unmarshal(m.Inline, d); err != nil {
			return nil, &Error{Op: "read document", Kind: ErrorCorrupt, Err: err}
		}
		d.buildIndex()
		return d, nil
	}
	for i, h := range m.Shards {
		part, ok := c.decoded[h]
		if !ok {
			return nil, &Error{Op: "read document", Kind: ErrorNotFound, Err: fmt.Errorf("shard %s is missing", h)}
		}
		if i == 0 {
			*d = *part
			d.Customers, d.Upstreams = nil, nil
		}
		d.Customers = append(d.Customers, part.Customers...)
		d.Upstreams = append(d.Upstreams, part.Upstreams...)
	}
	d.buildIndex()
	return d, nil
}

// retainOnly removes all shards from the cache that m does not list.
func (c *shardCache) retainOnly(m Manifest) {
	wanted := make(map[Hash]bool, len(m.Shards))
	for _, h := range m.Shards {
		wanted[h] = true
	}
	for h := range c.encoded {
		if !wanted[h] {
			delete(c.encoded, h)
			delete(c.decoded, h)
		}
	}
}
