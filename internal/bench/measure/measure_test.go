package measure

import (
	"testing"
	"time"

	"quetzalhook"
)

// Guards against abandoned requests that lower the attainment, refused requests
// that raise it, and a low attainment of one customer that the high attainment of
// its class hides.
func TestReport(t *testing.T) {
	c := New()
	for i := range 100 {
		customer := quetzalhook.CustomerID("large")
		if i < 20 {
			customer = "small"
		}
		r := Result{
			Class: "a", Customer: customer, Status: Served, Tokens: 10, InTarget: i >= 10,
			FirstToken: time.Duration(i+1) * time.Millisecond,
		}
		if i == 0 {
			r.Status, r.InTarget = Refused, false
		}
		c.Add(r)
	}
	c.Add(Result{Class: "a", Customer: "large", Status: Abandoned})
	r := c.Report()
	a := r.Classes["a"]
	if a.Sent != 100 || a.Served != 99 || a.Refused != 1 || a.Attainment != 0.9 {
		t.Errorf("class: got %+v", a)
	}
	if a.P50 < 50 || a.P50 > 53 {
		t.Errorf("median: got %.1f ms, want about 51 ms", a.P50)
	}
	if got, want := r.WorstAttainment, 0.5; got != want {
		t.Errorf("worst customer: got %.2f, want %.2f", got, want)
	}
	if got, want := r.Customers["small"].Gap, 0.4; got < want-0.001 || got > want+0.001 {
		t.Errorf("gap: got %.2f, want %.2f", got, want)
	}
	if got, want := r.GoodputTokens, int64(900); got != want {
		t.Errorf("goodput: got %d, want %d", got, want)
	}
}
