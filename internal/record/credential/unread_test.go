package credential

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// Guards against a good key that a host calls unknown because its reads for
// keys that it has not seen are used up.
func TestUnreadIsNotUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.issue("host-0")
		r := f.hosts["host-2"]
		_, invented, _ := r.Lookup("invented")
		if r.IsUnread(invented) {
			t.Error("key that the store does not have: got unread, want unknown")
		}
		for i := range 2 * readBurst {
			r.Lookup(fmt.Sprint("invented-", i))
		}
		_, id, ok := r.Lookup("not-read-yet")
		if ok || !r.IsUnread(id) {
			t.Errorf("key that was not looked for: got found %t, unread %t; want false, true", ok, r.IsUnread(id))
		}
		for host := range f.hosts {
			f.stop(host)
		}
	})
}
