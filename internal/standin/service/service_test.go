package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

func postBooking(url, id string) (answer, error) {
	var a answer
	res, err := http.Post(url+"/bookings", "application/json", strings.NewReader(`{"order-id":"`+id+`"}`))
	if err != nil {
		return a, err
	}
	defer res.Body.Close()
	return a, json.NewDecoder(res.Body).Decode(&a)
}

// Guards against CrashAfterEffect returning a response, and against an execution
// with it that is not counted.
func TestCrashAfterEffect(t *testing.T) {
	s := New()
	defer func() { _ = s.Close() }()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	_ = s.SetFaults(Faults{CrashAfterEffect: 1})
	if _, err := postBooking(server.URL, "a"); err == nil {
		t.Error("first call: got an answer, want a closed connection")
	}
	a, err := postBooking(server.URL, "a")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := a.Runs, 2; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Guards against swapped responses that are sent twice or not at all.
func TestCrossed(t *testing.T) {
	s := New()
	defer func() { _ = s.Close() }()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	_ = s.SetFaults(Faults{Crossed: true})
	var group sync.WaitGroup
	got := make([]string, 2)
	for i, id := range []string{"a", "b"} {
		group.Go(func() {
			a, err := postBooking(server.URL, id)
			if err != nil {
				t.Error(err)
			}
			got[i] = a.Order
		})
	}
	group.Wait()
	if got[0] != "b" || got[1] != "a" {
		t.Errorf("got %v, want [b a]", got)
	}
}
