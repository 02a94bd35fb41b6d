package dispatcher

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
)

// countingCaches counts the reads of engines' caches.
type countingCaches struct{ reads atomic.Int64 }

func (c *countingCaches) CachedParts(context.Context, quetzalhook.Upstream) (map[quetzalhook.Model][]quetzalhook.PromptPart, error) {
	c.reads.Add(1)
	return nil, nil
}

// Guards against hosts x engines reads when many hosts start: a host that has not
// heard the others yet takes itself for the leader of all groups, and must not
// read the caches of all engines for that.
func TestStartingHostReadsNoCaches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		clock := quetzalhook.ClockFunc(time.Now)
		caches := &countingCaches{}
		var settled atomic.Bool
		d := New(Settings{
			Host: "h0", Leader: func(int) quetzalhook.HostID { return "h0" }, Position: func() float64 { return 0 },
			Usable: func(quetzalhook.Upstream) bool { return true }, Budget: &fixedBudget{}, Caches: caches, Settled: settled.Load,
		}, peer.NewNetwork(clock, 1).Endpoint("h0"), clock, log)
		const engines = 20
		var list []quetzalhook.Upstream
		for i := range engines {
			list = append(list, quetzalhook.Upstream{ID: quetzalhook.UpstreamID(rune('a' + i)), Service: "s", Slots: 1})
		}
		d.SetUpstreams(list)
		d.Start()
		defer func() {
			if err := d.Close(); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(2 * time.Second)
		if got := caches.reads.Load(); got != 0 {
			t.Errorf("cache reads before the host has settled: got %d, want 0", got)
		}
		settled.Store(true)
		time.Sleep(time.Second)
		if got := caches.reads.Load(); got != engines {
			t.Errorf("cache reads in the first second after settling: got %d, want %d", got, engines)
		}
	})
}
