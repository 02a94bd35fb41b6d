package memory

import (
	"context"
	"errors"
	"testing"

	"quetzalhook"
)

// Guards against a lost response that also loses the write, and against two
// writes that both succeed with the same base version.
func TestPutLostAnswer(t *testing.T) {
	ctx := context.Background()
	s := New()
	s.SetFaults(Faults{LoseAnswers: 1})
	_, err := s.Put(ctx, "a", []byte("1"), 0)
	if got, want := errorKind(err), quetzalhook.StoreUnknown; got != want {
		t.Fatalf("first put: got %q, want %q", got, want)
	}
	o, err := s.Get(ctx, "a")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(o.Value), "1"; got != want {
		t.Errorf("value: got %q, want %q", got, want)
	}
	_, err = s.Put(ctx, "a", []byte("2"), 0)
	if got, want := errorKind(err), quetzalhook.StoreConflict; got != want {
		t.Errorf("second put: got %q, want %q", got, want)
	}
}

func errorKind(err error) quetzalhook.StoreErrorKind {
	var e *quetzalhook.StoreError
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Guards against a store that keeps a later change, or its history, when it returns from a
// copy, and against a new change whose version was not given out before.
func TestReturnFromCopy(t *testing.T) {
	ctx := context.Background()
	s := New(WithEras())
	put := func(key, value string, base quetzalhook.Version) quetzalhook.Version {
		v, err := s.Put(ctx, key, []byte(value), base)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	first := put("k/a", "1", 0)
	c := s.Copy()
	lost := put("k/a", "2", first)
	w, err := s.Watch(ctx, "k/", lost)
	if err != nil {
		t.Fatal(err)
	}
	s.Return(c)
	if _, open := <-w.Events(); open {
		t.Error("watch: got an event, want its end")
	}
	if o, err := s.Get(ctx, "k/a"); err != nil || string(o.Value) != "1" {
		t.Errorf("got %q, %v, want 1", o.Value, err)
	}
	if _, err := s.Watch(ctx, "k/", lost); quetzalhook.StoreKind(err, "") != quetzalhook.StoreHistoryGone {
		t.Errorf("watch from a lost change: got %v, want %v", err, quetzalhook.StoreHistoryGone)
	}
	if got := s.Era(); got != 2 {
		t.Errorf("era: got %d, want 2", got)
	}
	if _, err := s.Put(ctx, "k/a", []byte("3"), first); quetzalhook.StoreKind(err, "") != quetzalhook.StoreConflict {
		t.Errorf("base of an earlier era: got %v, want %v", err, quetzalhook.StoreConflict)
	}
	if again := put("k/a", "3", quetzalhook.NewVersion(2, first.Revision())); again.Revision() != lost.Revision() || again <= lost {
		t.Errorf("version: got %v, want the revision of %v in a later era", again, lost)
	}
}
