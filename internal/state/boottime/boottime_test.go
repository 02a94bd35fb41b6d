package boottime

import "testing"

// Guards against a clock that goes backwards or returns wall-clock time.
func TestNow(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	a, b := c.Now(), c.Now()
	if b.Before(a) {
		t.Errorf("second reading: got %v, want at least %v", b, a)
	}
	if got, want := a.Year(), 2000; got >= want {
		t.Errorf("year: got %d, want under %d because time counts from the boot of the machine", got, want)
	}
}
