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
