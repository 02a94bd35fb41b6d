package credential

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// Guards against a host that reports a valid key as unknown although it has not
// read the store for it, because its rate of such reads is used up.
func TestUnresolvedIsNotUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.issue("host-0")
		r := f.hosts["host-2"]
		_, invented, _ := r.Lookup("invented")
		if r.IsUnresolved(invented) {
			t.Error("key that the store does not have: got unresolved, want unknown")
		}
		for i := range 2 * readBurst {
			r.Lookup(fmt.Sprint("invented-", i))
		}
		_, id, ok := r.Lookup("not-read-yet")
		if ok || !r.IsUnresolved(id) {
			t.Errorf("key without a store read: got found %t, unresolved %t; want false, true", ok, r.IsUnresolved(id))
		}
		for host := range f.hosts {
			f.stopHost(host)
		}
	})
}
