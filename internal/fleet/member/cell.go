package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

const (
	// cellSize is the target mean number of hosts in a cell.
	cellSize = 16
	// maxSingleCell is the number of hosts up to which a fleet forms one cell
	// across all zones.
	maxSingleCell = 24
)

// cellID identifies a cell, a group of hosts that send each other heartbeats.
type cellID uint64

// cells assigns hosts to cells. Within a zone it uses rendezvous hashing, so that
// few hosts move when the number of the zone's cells changes.
type cells struct {
	single bool
	counts map[quetzalhook.Zone]int // number of cells by zone
}

// newCells returns the assignment for a fleet with the given number of hosts in
// each zone.
func newCells(hosts map[quetzalhook.Zone]int) cells {
	total := 0
	c := cells{counts: make(map[quetzalhook.Zone]int, len(hosts))}
	for zone, n := range hosts {
		total += n
		c.counts[zone] = max(1, (n+cellSize/2)/cellSize)
	}
	c.single = total <= maxSingleCell
	return c
}

// cellOf returns the cell of a host.
func (c cells) cellOf(host quetzalhook.HostID, zone quetzalhook.Zone) cellID {
	if c.single {
		return 1
	}
	var best cellID
	var highest uint64
	for i := range max(1, c.counts[zone]) {
		id := zoneCell(zone, i)
		if score := rendezvousScore(host, id); best == 0 || score > highest {
			best, highest = id, score
		}
	}
	return best
}

// cellOfUpstream returns the cell whose hosts use an upstream. The upstreams
// of a zone without hosts are distributed over the other zones.
func (c cells) cellOfUpstream(id quetzalhook.UpstreamID, zone quetzalhook.Zone) cellID {
	name := quetzalhook.HostID(id)
	if c.counts[zone] > 0 {
		return c.cellOf(name, zone)
	}
	var best quetzalhook.Zone
	var highest uint64
	for z := range c.counts {
		if score := rendezvousScore(name, zoneCell(z, 0)); best == "" || score > highest {
			best, highest = z, score
		}
	}
	return c.cellOf(name, best)
}

// zoneCell returns the identifier of a zone's cell with index i.
func zoneCell(zone quetzalhook.Zone, i int) cellID {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(i))
	// Setting bit 1 keeps the ID different from 0 and from the single cell's 1.
	return cellID(xxhash.Sum64String(string(zone)+"\x00"+string(b[:])) | 2)
}

// rendezvousScore returns the score of a cell for a host in rendezvous hashing;
// the host belongs to the cell with the highest score.
func rendezvousScore(host quetzalhook.HostID, id cellID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64String(string(b[:]) + string(host))
}

// hostHash returns the hash that stands for a host in summaries.
func hostHash(host quetzalhook.HostID) uint32 { return uint32(xxhash.Sum64String(string(host))) }
