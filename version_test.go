package quetzalhook

import "testing"

// Guards against a revision that is given out again and counts as old, and against numbers
// of a faulty store that change the order.
func TestVersionOrder(t *testing.T) {
	for _, c := range []struct {
		era, revision, wantEra, wantRevision int64
		text                                 string
	}{
		{0, 0, 0, 0, "0"},
		{0, 7, 0, 7, "7"},
		{3, 7, 3, 7, "7@2"},
		{-1, -5, 0, 0, "0"},
		{1 << 60, 1 << 60, maxEra, maxRevision, "17592186044415@524286"},
	} {
		v := NewVersion(c.era, c.revision)
		if v.Era() != c.wantEra || v.Revision() != c.wantRevision || v.String() != c.text {
			t.Errorf("%d, %d: got %d, %d, %s, want %d, %d, %s", c.era, c.revision, v.Era(), v.Revision(), v, c.wantEra, c.wantRevision, c.text)
		}
	}
	if lost, again := NewVersion(1, 900), NewVersion(2, 800); again <= lost {
		t.Errorf("got %v not above %v, want it above", again, lost)
	}
}
