// Package member tracks the other hosts of the fleet and their state by UDP
// heartbeats.
//
// The fleet is divided into cells of about 16 hosts. Every host sends a
// heartbeat to the hosts of its cell four times a second, and a summary of the
// cell to a few hosts of other cells once a second. Its traffic therefore does
// not grow with the fleet. To a host that it has not heard, it sends a greeting,
// a datagram that contains only its own profile.
//
// Datagrams carry an HMAC, whose key is derived from the shared secret. A
// datagram shows that its sender is alive only if it names the incarnation of the
// host that receives it and has a higher sequence number than the last one, so
// that replayed datagrams have no effect.
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
	// maxDatagram plus headers is below the minimum IPv6 MTU, so that datagrams
	// are not fragmented.
	maxDatagram = 1200
	// macSize is the length of the truncated HMAC-SHA256.
	macSize = 16
	// headerSize is the length of the header, the receiver's incarnation.
	headerSize = 8
	maxBody    = maxDatagram - headerSize - macSize
)

// packet is the body of a datagram. It can be interpreted without
// earlier packets.
type packet struct {
	Host         quetzalhook.HostID      `cbor:"1,keyasint"`
	Incarnation  quetzalhook.Incarnation `cbor:"2,keyasint"`
	Sequence     uint64                  `cbor:"3,keyasint"`
	State        *hostState              `cbor:"4,keyasint,omitempty"`
	InFlight     []inFlight              `cbor:"5,keyasint,omitempty"`
	Used         []used                  `cbor:"6,keyasint,omitempty"`
	Profiles     []profile               `cbor:"7,keyasint,omitempty"` // the sender's own comes first, if included
	Summaries    []summary               `cbor:"8,keyasint,omitempty"`
	Leaving      bool                    `cbor:"9,keyasint,omitempty"`  // the sender is stopping as planned
	WantsSummary bool                    `cbor:"10,keyasint,omitempty"` // asks for the summary of the receiver's cell
	// SplitVersion is that of the State that is not included: a host that has missed the
	// change must not take the versions that it knows for the newest.
	SplitVersion int64 `cbor:"11,keyasint,omitempty"`
}

// ownProfile returns the profile of the sender, or false if it is not included.
func (p packet) ownProfile() (profile, bool) {
	if len(p.Profiles) == 0 || p.Profiles[0].Host != p.Host || p.Profiles[0].Incarnation != p.Incarnation {
		return profile{}, false
	}
	return p.Profiles[0], true
}

// hostState is the state that a host reports of itself. Work is in tokens.
type hostState struct {
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
	Eligible        quetzalhook.Roles             `cbor:"12,keyasint,omitempty"`
	Active          quetzalhook.Roles             `cbor:"13,keyasint,omitempty"`
	// EvacuationVersion is the version of the newest known change of the evacuated zones.
	// Like the other versions of the store, it is a plain revision here, for hosts that do
	// not know of eras.
	EvacuationVersion int64 `cbor:"14,keyasint,omitempty"`
	SplitVersion      int64 `cbor:"15,keyasint,omitempty"` // see quetzalhook.Member
	CutOff            bool  `cbor:"16,keyasint,omitempty"` // see quetzalhook.Member
	// TableVersion and Kept are as in quetzalhook.Member; the eras are those of the versions.
	TableVersion  int64  `cbor:"17,keyasint,omitempty"`
	UpstreamEra   int64  `cbor:"18,keyasint,omitempty"`
	EvacuationEra int64  `cbor:"19,keyasint,omitempty"`
	Kept          uint32 `cbor:"20,keyasint,omitempty"`
}

// storeVersions holds what a host knows of the objects in the store.
type storeVersions struct {
	config, table, upstreams, upstreamEra, evacuations, evacuationEra int64
	kept                                                              uint32
}

// versions returns the versions of the state.
func (s *hostState) versions() storeVersions {
	return storeVersions{s.ConfigVersion, s.TableVersion, s.UpstreamVersion, s.UpstreamEra, s.EvacuationVersion, s.EvacuationEra, s.Kept}
}

// setVersions replaces the versions of the state.
func (s *hostState) setVersions(v storeVersions) {
	s.ConfigVersion, s.TableVersion, s.Kept = v.config, v.table, v.kept
	s.UpstreamVersion, s.UpstreamEra = v.upstreams, v.upstreamEra
	s.EvacuationVersion, s.EvacuationEra = v.evacuations, v.evacuationEra
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

// profile holds the identity and the addresses of a host.
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

// summary describes a cell as the host Origin of that cell saw it Age ago.
type summary struct {
	Cell   cellID             `cbor:"1,keyasint"`
	Origin quetzalhook.HostID `cbor:"2,keyasint"`
	Age    milliseconds       `cbor:"3,keyasint,omitempty"`
	// Alive holds the four-byte hash of each host that is alive.
	Alive []byte `cbor:"4,keyasint"`
	// State holds the state of Origin, but with the smallest store age of the
	// cell, its mean free capacity and its total work and requests.
	State hostState `cbor:"5,keyasint"`
	// Left holds eight bytes for each host that stopped as planned: its hash
	// and the low 32 bits of its incarnation.
	Left []byte `cbor:"6,keyasint,omitempty"`
	// Unready and Draining hold the four-byte hashes of the hosts in Alive that cannot
	// serve callers, and of those that stop. They are nil in the summaries of hosts that
	// do not know these lists.
	Unready  []byte `cbor:"7,keyasint"`
	Draining []byte `cbor:"8,keyasint"`
	// CutOff holds the four-byte hashes of the hosts in Alive that reach no upstreams.
	CutOff []byte `cbor:"9,keyasint,omitempty"`
}

// milliseconds is the encoding of a duration. The largest value stands for any
// duration that is too long to encode.
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

// sealer adds an HMAC to datagrams and verifies it.
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

// seal returns a datagram with the body and its HMAC for one receiver; receiver 0
// means that its incarnation is unknown.
func (s sealer) seal(receiver quetzalhook.Incarnation, body []byte) []byte {
	data := make([]byte, headerSize, headerSize+len(body)+macSize)
	binary.BigEndian.PutUint64(data, uint64(receiver))
	data = append(data, body...)
	return append(data, s.mac(data)...)
}

// open checks the HMAC of a datagram, decodes it and returns the incarnation of
// the receiver that it names and its packet.
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
		return 0, p, errors.Wrap(err, "decode datagram")
	}
	if p.Host == "" || p.Incarnation == 0 {
		return 0, p, errors.New("datagram does not name its sender")
	}
	return quetzalhook.Incarnation(binary.BigEndian.Uint64(signed)), p, nil
}

// packetBuilder builds a packet of limited size.
type packetBuilder struct {
	body packet
	size int
	max  int
}

// newPacketBuilder starts a packet with the content of p, of at most limit bytes.
func newPacketBuilder(p packet, limit int) (*packetBuilder, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "datagram does not encode")
	}
	return &packetBuilder{body: p, size: len(data), max: min(limit, maxBody)}, nil
}

// reserve reserves space for a list entry and reports whether it fits; the caller
// then adds the entry to body. It keeps listOverhead bytes free, because the entry
// may start a new list.
func (b *packetBuilder) reserve(entry any) bool {
	data, err := cbor.Marshal(entry)
	if err != nil || b.size+len(data)+listOverhead > b.max {
		return false
	}
	b.size += len(data)
	return true
}

// listOverhead is an upper limit for the keys and lengths of all four lists, in
// bytes.
const listOverhead = 16

func (b *packetBuilder) encode() ([]byte, error) {
	data, err := cbor.Marshal(b.body)
	if err != nil {
		return nil, errors.Wrap(err, "datagram does not encode")
	}
	return data, nil
}
