package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

const (
	// cellSize is the mean number of hosts in a cell.
	cellSize = 16
	// singleCell is the largest fleet that forms one cell over all zones.
	singleCell = 24
)

// cellID names a cell.
type cellID uint64

// cells assigns hosts to cells: the hosts of each zone by rendezvous hash, so
// that few hosts move when a zone gets another cell.
type cells struct {
	single bool
	counts map[quetzalhook.Zone]int
}

// newCells returns the assignment for a fleet with the given numbers of hosts.
func newCells(hosts map[quetzalhook.Zone]int) cells {
	total := 0
	c := cells{counts: make(map[quetzalhook.Zone]int, len(hosts))}
	for zone, n := range hosts {
		total += n
		c.counts[zone] = max(1, (n+cellSize/2)/cellSize)
	}
	c.single = total <= singleCell
	return c
}

// of returns the cell of a host.
func (c cells) of(host quetzalhook.HostID, zone quetzalhook.Zone) cellID {
	if c.single {
		return 1
	}
	var best cellID
	var highest uint64
	for i := range max(1, c.counts[zone]) {
		id := zoneCell(zone, i)
		if score := rendezvous(host, id); best == 0 || score > highest {
			best, highest = id, score
		}
	}
	return best
}

// ofUpstream returns the cell whose hosts use an upstream. The upstreams of a
// zone without hosts are divided between the other zones.
func (c cells) ofUpstream(id quetzalhook.UpstreamID, zone quetzalhook.Zone) cellID {
	name := quetzalhook.HostID(id)
	if c.counts[zone] > 0 {
		return c.of(name, zone)
	}
	var best quetzalhook.Zone
	var highest uint64
	for z := range c.counts {
		if score := rendezvous(name, zoneCell(z, 0)); best == "" || score > highest {
			best, highest = z, score
		}
	}
	return c.of(name, best)
}

func zoneCell(zone quetzalhook.Zone, i int) cellID {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(i))
	// The lowest bit keeps the id apart from 0 and from the single cell's.
	return cellID(xxhash.Sum64String(string(zone)+"\x00"+string(b[:])) | 2)
}

func rendezvous(host quetzalhook.HostID, id cellID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64String(string(b[:]) + string(host))
}

// hostHash is the short form of a host's name in summaries.
func hostHash(host quetzalhook.HostID) uint32 { return uint32(xxhash.Sum64String(string(host))) }
