package provisioner

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/record/routing"
)

// world is a platform, a lease and a load of which a script tells.
type world struct {
	now     time.Time
	fencing uint64
	held    bool
	// losesAfter is the number of looks at the lease after which it is lost; -1
	// never loses it.
	losesAfter int
	busy       float64
	busyErr    error
	answer     error
	upstreams  []quetzalhook.Upstream
	out        strings.Builder
}

// Fencing implements Duty.
func (w *world) Fencing() (uint64, bool) {
	if w.losesAfter == 0 {
		w.held = false
	}
	w.losesAfter--
	return w.fencing, w.held
}

// Table implements Records.
func (w *world) Table() (*routing.Table, <-chan struct{}) {
	return &routing.Table{Services: []routing.Service{
		{Name: "plain"},
		{Name: "model", Scaling: &routing.Scaling{
			Min: 1, Max: 12, StartTime: 4 * time.Second, CheapPrice: 0.2, ZonePrices: map[quetzalhook.Zone]float64{"a": 1, "b": 0.8},
		}},
	}}, nil
}

// Upstreams implements Records.
func (w *world) Upstreams() []quetzalhook.Upstream { return w.upstreams }

// OrderUpstreams implements Platform.
func (w *world) OrderUpstreams(_ context.Context, fencing uint64, service string, o quetzalhook.UpstreamOrder) error {
	fmt.Fprintf(&w.out, "%s %s cheap=%v count=%d fencing=%d: %v\n", service, o.Zone, o.Cheap, o.Count, fencing, w.answer)
	return w.answer
}

// Guards against an order by a host that has lost the duty, also between two
// orders of one plan; against orders made without the load; and against a
// planner that goes on with what the holder before it had ordered.
func TestProvisioner(t *testing.T) {
	datadriven.RunTest(t, "testdata/orders", func(t *testing.T, d *datadriven.TestData) string {
		w := &world{now: time.Unix(1000, 0), fencing: 7, held: true, losesAfter: -1}
		log := logrus.New()
		log.SetOutput(io.Discard)
		p := New(w, w, w, func(context.Context) (float64, error) { return w.busy, w.busyErr }, quetzalhook.ClockFunc(func() time.Time { return w.now }), log)
		for line := range strings.Lines(d.Input) {
			var n float64
			verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
			if rest != "" {
				if _, err := fmt.Sscan(rest, &n); err != nil {
					t.Fatal(err)
				}
			}
			switch verb {
			case "ready": // regular engines in each zone
				w.upstreams = nil
				for i := range int(n) {
					for _, z := range []quetzalhook.Zone{"a", "b"} {
						w.upstreams = append(w.upstreams, quetzalhook.Upstream{ID: quetzalhook.UpstreamID(fmt.Sprint(z, i)), Service: "model", Zone: z})
					}
				}
			case "busy":
				w.busy = n
			case "busy-unknown":
				w.busyErr = errors.New("the leader does not answer")
			case "none-left":
				w.answer = &quetzalhook.StoreError{Op: "duty", Kind: quetzalhook.StoreConflict}
			case "no-answer":
				w.answer = &quetzalhook.StoreError{Op: "duty", Kind: quetzalhook.StoreUnknown}
			case "not-held":
				w.held = false
			case "lost-after":
				w.losesAfter = int(n)
			case "fencing":
				w.fencing = uint64(n)
			case "step":
				p.Step(t.Context())
			case "wait": // seconds
				w.now = w.now.Add(time.Duration(n * float64(time.Second)))
			default:
				t.Fatalf("unknown command %q", line)
			}
		}
		if w.out.Len() == 0 {
			return "no orders\n"
		}
		return w.out.String()
	})
}
