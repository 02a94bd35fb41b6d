package member

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
)

// Guards against a crash of the process when a datagram arrives before Start has
// set the socket for the answer.
func TestSendBeforeStart(t *testing.T) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := NewService(Settings{Self: Self{Host: "a"}}, quetzalhook.ClockFunc(time.Now), log)
	s.send([]datagram{{to: "127.0.0.1:1", data: []byte("x")}})
	if got, want := s.Address(), ""; got != want {
		t.Errorf("address: got %q, want %q", got, want)
	}
}

// Guards against reads of the list of hosts that take up most of a fleet's
// control traffic. The list grows with the fleet, so the interval must too.
func TestListReadsAreBounded(t *testing.T) {
	const limit = 20.0 // reads/s of the whole fleet
	for _, hosts := range []int{1, 8, 600, 2800} {
		if got := float64(hosts) / listInterval(hosts).Seconds(); got > limit {
			t.Errorf("%d hosts: got %.0f reads/s, want at most %.0f", hosts, got, limit)
		}
	}
}
