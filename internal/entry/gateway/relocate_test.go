package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
)

// Guards against streams that are moved too late since the answers of an engine told
// that it leaves before its entry told when.
func TestEntryTimesMoveAfterNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{deps: Deps{DefaultLeaveTime: time.Hour}, streams: newStreams()}
		isDue := func() bool {
			synctest.Wait()
			g.streams.mu.Lock()
			defer g.streams.mu.Unlock()
			return g.streams.leaving["e"].due
		}
		u := quetzalhook.Upstream{ID: "e", State: quetzalhook.UpstreamLeaving}
		g.SetUpstreams([]quetzalhook.Upstream{u})
		time.Sleep(time.Second)
		if got, want := isDue(), false; got != want {
			t.Errorf("due after the notice: got %v, want %v", got, want)
		}
		u.LeavesIn = 2 * moveLeadTime
		g.SetUpstreams([]quetzalhook.Upstream{u})
		time.Sleep(moveLeadTime + time.Millisecond)
		g.SetUpstreams([]quetzalhook.Upstream{u})
		if got, want := isDue(), true; got != want {
			t.Errorf("due after the entry: got %v, want %v", got, want)
		}
		g.SetUpstreams(nil)
	})
}
