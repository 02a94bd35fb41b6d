package lease

import (
	"net/http/httptest"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/platform"
	"quetzalhook/platform/standin"
)

// Guards against a process that starts after the return of a store whose first era is 0, and
// uses a token that the store has lost.
func TestTokenAfterFirstEraZero(t *testing.T) {
	for name, isCopyEmpty := range map[string]bool{"object in the copy": false, "object lost": true} {
		t.Run(name, func(t *testing.T) {
			m := memory.New(memory.WithEras()) // begins with number 0
			server := httptest.NewServer(standin.NewStore(m))
			defer server.Close()
			now := time.Unix(1000, 0)
			clock := quetzalhook.ClockFunc(func() time.Time { return now })
			take := func(host quetzalhook.HostID) (*Lease, uint64) {
				log, _ := logtest.NewNullLogger()
				s := platform.NewStore(server.Listener.Addr().String(), log)
				t.Cleanup(s.Close)
				l, err := New(RoleController, host, 1, s, clock, invariant.New(nil))
				if err != nil {
					t.Fatal(err)
				}
				for range 2 {
					if _, held := l.Fencing(); !held {
						_ = l.Step(t.Context())
						now = now.Add(12 * time.Second)
						_ = l.Step(t.Context())
					}
				}
				token, held := l.Fencing()
				if !held {
					t.Fatalf("%s does not hold the role", host)
				}
				return l, token
			}
			copied := m.Copy()
			a, _ := take("a")
			if !isCopyEmpty {
				copied = m.Copy()
			}
			if err := a.Close(); err != nil {
				t.Fatal(err)
			}
			_, lost := take("b")
			m.Return(copied)
			if _, got := take("c"); got <= lost {
				t.Errorf("token after the return: got %d, want above %d", got, lost)
			}
		})
	}
}
