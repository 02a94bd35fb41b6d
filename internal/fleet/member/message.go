// Package member keeps the view of the other hosts from UDP heartbeats.
//
// Every host sends a heartbeat to the hosts of its cell, about 16, four times
// a second, and a summary of the cell to a few hosts of other cells once a
// second. Its traffic therefore does not grow with the fleet. Datagrams carry
// an HMAC of the shared secret. A heartbeat counts as a sign of life only if
// it names the incarnation of the host that receives it and has a higher
// sequence number than the last one, so that recorded datagrams have no effect.
package member

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"quetzalhook"
)

const (
	// maxDatagram is below the smallest MTU of IPv6 with headers, so that no
	// datagram is fragmented.
	maxDatagram = 1200
	// macSize is the length of the truncated HMAC-SHA256.
	macSize = 16
	// headerSize is the length of the receiver's incarnation before the body.
	headerSize = 8
	maxBody    = maxDatagram - headerSize - macSize
)

// packet is the body of a datagram. Every packet can be understood alone.
type packet struct {
	Host        quetzalhook.HostID      `cbor:"1,keyasint"`
	Incarnation quetzalhook.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64                  `cbor:"3,keyasint"`
	Beat        *beat                   `cbor:"4,keyasint,omitempty"`
	InFlight    []inFlight              `cbor:"5,keyasint,omitempty"`
	Used        []used                  `cbor:"6,keyasint,omitempty"`
	Profiles    []profile               `cbor:"7,keyasint,omitempty"` // the sender's own first, if given
	Summaries   []summary               `cbor:"8,keyasint,omitempty"`
	Leaving     bool                    `cbor:"9,keyasint,omitempty"`  // the sender stops now, as planned
	Wants       bool                    `cbor:"10,keyasint,omitempty"` // asks for the summary of the receiver's cell
}

// beat is what a host tells of itself. Work is in tokens.
type beat struct {
	Draining        bool                          `cbor:"1,keyasint,omitempty"`
	FreePercent     uint8                         `cbor:"2,keyasint,omitempty"`
	ConfigVersion   int64                         `cbor:"3,keyasint,omitempty"`
	WithdrawnCount  int                           `cbor:"4,keyasint,omitempty"`
	WithdrawnHash   uint64                        `cbor:"5,keyasint,omitempty"`
	StoreAge        milliseconds                  `cbor:"6,keyasint,omitempty"`
	Waiting         [quetzalhook.TierCount]uint64 `cbor:"7,keyasint"`
	Running         [quetzalhook.TierCount]uint64 `cbor:"8,keyasint"`
	Requests        [quetzalhook.TierCount]uint32 `cbor:"9,keyasint"`
	Unready         bool                          `cbor:"10,keyasint,omitempty"`
	UpstreamVersion int64                         `cbor:"11,keyasint,omitempty"`
}

// inFlight is the number of a host's requests on one upstream.
type inFlight struct {
	_        struct{} `cbor:",toarray"`
	Upstream quetzalhook.UpstreamID
	Count    int
}

// used is the work of one customer on a host since it started, in tokens.
type used struct {
	_        struct{} `cbor:",toarray"`
	Customer quetzalhook.CustomerID
	Work     uint64
}

// profile introduces a host.
type profile struct {
	Host        quetzalhook.HostID      `cbor:"1,keyasint"`
	Incarnation quetzalhook.Incarnation `cbor:"2,keyasint"`
	Zone        quetzalhook.Zone        `cbor:"3,keyasint"`
	Region      quetzalhook.Region      `cbor:"4,keyasint,omitempty"`
	Address     string                  `cbor:"5,keyasint,omitempty"` // for callers
	Heartbeat   string                  `cbor:"6,keyasint,omitempty"`
	Peer        string                  `cbor:"7,keyasint,omitempty"`
	Left        bool                    `cbor:"8,keyasint,omitempty"` // stopped as planned
	Processors  float64                 `cbor:"9,keyasint,omitempty"` // cores
}

// summary describes a cell as its host Origin saw it Age ago.
type summary struct {
	Cell   cellID             `cbor:"1,keyasint"`
	Origin quetzalhook.HostID `cbor:"2,keyasint"`
	Age    milliseconds       `cbor:"3,keyasint,omitempty"`
	// Alive holds four bytes of the hash of each host that is alive.
	Alive []byte `cbor:"4,keyasint"`
	// Beat holds the versions and digest of Origin, the smallest store age of
	// the cell, its mean free capacity and its total work.
	Beat beat `cbor:"5,keyasint"`
	// Left holds eight bytes for each host that stopped as planned: its hash
	// and the low half of its incarnation.
	Left []byte `cbor:"6,keyasint,omitempty"`
}

// milliseconds is a duration on the wire. The largest value stands for longer.
type milliseconds uint32

func toMilliseconds(d time.Duration) milliseconds {
	ms := d.Milliseconds()
	return milliseconds(min(max(ms, 0), int64(^milliseconds(0))))
}

func (m milliseconds) duration() time.Duration {
	if m == ^milliseconds(0) {
		return 1<<63 - 1
	}
	return time.Duration(m) * time.Millisecond
}

var (
	errShort = errors.New("datagram is too short")
	errMAC   = errors.New("datagram has a wrong HMAC")
)

// sealer signs and checks datagrams.
type sealer struct{ key []byte }

func newSealer(secret []byte) sealer {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("quetzalhook heartbeat"))
	return sealer{key: h.Sum(nil)}
}

func (s sealer) mac(data []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(data)
	return h.Sum(nil)[:macSize]
}

// seal returns a datagram with the body for one receiver; receiver 0 stands
// for an unknown incarnation.
func (s sealer) seal(receiver quetzalhook.Incarnation, body []byte) []byte {
	data := make([]byte, headerSize, headerSize+len(body)+macSize)
	binary.BigEndian.PutUint64(data, uint64(receiver))
	data = append(data, body...)
	return append(data, s.mac(data)...)
}

// open checks a datagram and returns its receiver and packet.
func (s sealer) open(data []byte) (quetzalhook.Incarnation, packet, error) {
	var p packet
	if len(data) < headerSize+macSize {
		return 0, p, errShort
	}
	signed, mac := data[:len(data)-macSize], data[len(data)-macSize:]
	if !hmac.Equal(mac, s.mac(signed)) {
		return 0, p, errMAC
	}
	if err := cbor.Unmarshal(signed[headerSize:], &p); err != nil {
		return 0, p, errors.Wrap(err, "datagram does not decode")
	}
	if p.Host == "" || p.Incarnation == 0 {
		return 0, p, errors.New("datagram names no sender")
	}
	return quetzalhook.Incarnation(binary.BigEndian.Uint64(signed)), p, nil
}

// filler adds entries to the lists of a packet while they fit.
type filler struct {
	body packet
	size int
	max  int
}

// newFiller starts a body of at most limit bytes with the parts of p.
func newFiller(p packet, limit int) (*filler, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "datagram does not encode")
	}
	return &filler{body: p, size: len(data), max: min(limit, maxBody)}, nil
}

// fits reserves the space of a list entry. An entry may begin a new list,
// whose key and length take up to listOverhead bytes.
func (f *filler) fits(entry any) bool {
	data, err := cbor.Marshal(entry)
	if err != nil || f.size+len(data)+listOverhead > f.max {
		return false
	}
	f.size += len(data)
	return true
}

// listOverhead covers the keys and lengths of all four lists.
const listOverhead = 16

func (f *filler) encode() ([]byte, error) {
	data, err := cbor.Marshal(f.body)
	if err != nil {
		return nil, errors.Wrap(err, "datagram does not encode")
	}
	return data, nil
}
