package configuration

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"quetzalhook"
)

// Guards against a parser that stops at the first mistake, reports wrong
// positions or accepts unknown fields.
func TestParseMistakes(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, td *datadriven.TestData) string {
		if td.Cmd == "difference" {
			a, b, _ := strings.Cut(td.Input, "\n---\n")
			return strings.Join(Difference(mustParse(a), mustParse(b)), "\n") + "\n"
		}
		_, err := Parse([]byte(td.Input))
		if err == nil {
			return "ok\n"
		}
		var e *Error
		if !errors.As(err, &e) {
			return "not an *Error: " + err.Error()
		}
		return err.Error() + "\n"
	})
}

func mustParse(text string) *Document {
	d, err := Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	return d
}

func example(t testing.TB, name string) *Document {
	t.Helper()
	data, err := os.ReadFile("../../../examples/" + name + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against example files that cannot be parsed, and against conversions to
// the types of the root package that omit a field.
func TestExamples(t *testing.T) {
	d := example(t, "association")
	example(t, "foundry")
	c, ok := d.Customer("seller-bled")
	if !ok || c.Limit() != (quetzalhook.CustomerLimit{Weight: 1, WorkRate: 400, WorkBurst: 8000, Concurrency: 16}) {
		t.Errorf("limit: got %+v, %t", c.Limit(), ok)
	}
	r, _ := d.Route("/v1/chat/completions")
	class, ok := d.ClassFor(c, r, "rulebook-question")
	if !ok || !class.MustFinish() || class.Tier() != 2 || class.TTFTTarget() != 30*time.Second {
		t.Errorf("class: got %+v, %t", class, ok)
	}
	if _, ok := d.ClassFor(c, r, "defect-question"); ok {
		t.Error("unknown class: got true, want false")
	}
	ups := d.UpstreamsFrom("ljubljana-a")
	got, want := ups[6].Distance, 12*time.Millisecond
	if got != want || ups[6].Region != "maribor" || ups[0].Distance != 0 || !ups[5].Cheap {
		t.Errorf("distance to %s: got %s, want %s", ups[6].ID, got, want)
	}
	if _, ok := d.Route("/pitch/bookingsX"); ok {
		t.Error("route of /pitch/bookingsX: got true, want false")
	}
}

// Guards against input on which the parser panics, and against an invalid document
// that it accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte("zones:\n  - {name: a, region: b}\nclasses:\n  - name: c\n    ttft-target: 1s\n"))
	f.Add([]byte("zones: [{name: a, region: &x b}]\nclasses: *x\n<<: {}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data)
		if err == nil && d.Validate() != nil {
			t.Errorf("parsed document is not valid: %v", d.Validate())
		}
	})
}
