package member

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
)

// Guards against a datagram that arrives before Start has its socket to
// answer on, which ended the process.
func TestSendBeforeStart(t *testing.T) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := NewService(Settings{Self: Self{Host: "a"}}, quetzalhook.ClockFunc(time.Now), log)
	s.send([]datagram{{to: "127.0.0.1:1", data: []byte("x")}})
	if got, want := s.Address(), ""; got != want {
		t.Errorf("address: got %q, want %q", got, want)
	}
}

// Guards against a fleet whose reads of the list of hosts take most of its
// control traffic: the list grows with the fleet, and so must the interval.
func TestListReadsAreBounded(t *testing.T) {
	const limit = 20.0 // reads/s of the whole fleet
	for _, hosts := range []int{1, 8, 600, 2800} {
		if got := float64(hosts) / listWait(hosts).Seconds(); got > limit {
			t.Errorf("%d hosts: got %.0f reads/s, want at most %.0f", hosts, got, limit)
		}
	}
}
