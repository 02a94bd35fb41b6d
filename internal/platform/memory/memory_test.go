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
