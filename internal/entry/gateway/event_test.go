package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"quetzalhook/internal/entry/connection"
)

// Guards against streams that reach the caller other than the engines meant them.
func FuzzStreams(f *testing.F) {
	for seed := range uint64(400) {
		f.Add(seed)
	}
	env := newTestEnvironment(&testing.T{})
	f.Cleanup(env.close)
	f.Fuzz(func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 0))
		events := soundEvents(r)
		recorder := httptest.NewRecorder()
		x := &exchange{gateway: env.gateway, w: recorder}
		x.stream.events.protocol = testProtocol{}
		attempt := func(body string, end error, framed bool) error {
			h := http.Header{"Content-Type": {"text/event-stream"}}
			return x.copyStream(&ticket{env: env}, &connection.Response{
				Status: http.StatusOK, Header: h, Framed: framed, Body: &randomReader{r: r, data: body, end: end},
			})
		}
		sent := 0
		for range r.IntN(3) {
			rest := strings.Join(events[sent:], "")
			body, complete, end := breakOff(r, events, sent)
			err := attempt(body, end, body != "" && r.IntN(2) == 0)
			if err == nil || len(err.Error()) > 500 {
				t.Fatalf("seed %d: end of %q: got %v, want an error of at most 500 bytes; sound: %q", seed, body, err, rest)
			}
			sent += complete
			if got, want := recorder.Body.String(), strings.Join(events[:sent], ""); got != want {
				t.Fatalf("seed %d: after %q got %q, want %q", seed, body, got, want)
			}
		}
		err := attempt(strings.Join(events[sent:], ""), io.EOF, sent == len(events) || r.IntN(2) == 0)
		if got, want := recorder.Body.String(), strings.Join(events, ""); got != want || err != nil {
			t.Fatalf("seed %d: got %q and %v, want %q", seed, got, err, want)
		}
	})
}

// soundEvents returns a stream, split after each event.
func soundEvents(r *rand.Rand) []string {
	lineEnd := []string{"\n", "\r\n"}[r.IntN(2)]
	texts := []string{"", "x", " y: z", "HTTP/1.1 500 Failed", `{"error":"no"}`, "id: 1", "<html>", "\u00e9\xff", strings.Repeat("long ", r.IntN(3000))}
	events := make([]string, 1+r.IntN(12))
	for i := range events {
		id := fmt.Sprintf("id:%s%d", []string{"", " "}[r.IntN(2)], i+1)
		lines := []string{id, "data: " + texts[r.IntN(len(texts))]}
		for r.IntN(2) == 0 {
			extra := []string{"data:" + texts[r.IntN(len(texts))], "data", ": " + texts[r.IntN(len(texts))], "event: e", "retry: 5"}
			lines = append(lines, extra[r.IntN(len(extra))])
		}
		r.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
		if r.IntN(5) == 0 {
			lines = append([]string{"weights: 2"}, lines...)
		}
		if r.IntN(5) == 0 {
			lines = append([]string{": comment", ""}, lines...)
		}
		if r.IntN(5) == 0 {
			lines = append([]string{""}, lines...)
		}
		events[i] = strings.Join(append(lines, "", ""), lineEnd)
	}
	return events
}

// breakOff returns a response that begins with the rest of a stream and is broken, and
// the number of events in it that are complete.
func breakOff(r *rand.Rand, events []string, sent int) (body string, complete int, end error) {
	complete = r.IntN(len(events) - sent + 1)
	body = strings.Join(events[sent:sent+complete], "")
	last := sent + complete
	if complete == 0 && last < len(events) && r.IntN(8) == 0 {
		return "", 0, io.EOF
	}
	head := "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\n"
	unsound := []string{head + "bad", head + "bad\n\n"}
	if last < len(events) && isOneBlock(events[last]) && r.IntN(2) == 0 { // within an event
		text := strings.TrimRight(events[last], "\r\n")
		body += text[:1+r.IntN(len(text))]
	} else {
		next := strconv.Itoa(last + 1)
		unsound = append(unsound, "data: {}\n\n", "{\"error\":\"no\"}\n\n", "<html>\n</html>\n", "error: no\n\n", "\xef\xbb\xbf\xef\xbb\xbf\n\n", "\x00\n",
			"id: 1x\ndata: y\n\n", "id: "+next+"\n\n", "id: "+next+"\nid: 99\ndata: y\n\n", "id: "+strings.Repeat("9", 30)+"\ndata: y\n\n")
		if last > 0 {
			unsound = append(unsound, "id: 0\ndata: y\n\n", "id: 1\ndata: y\n\n", fmt.Sprintf("id: %d\ndata: y\n\n", last))
		}
		if last > 0 && complete == 0 {
			unsound = append(unsound, fmt.Sprintf("id: %d\ndata: y\n\n", last+2))
		}
	}
	body += unsound[r.IntN(len(unsound))]
	if r.IntN(2) == 0 {
		return body + strings.Join(events[last:], ""), complete, io.EOF
	}
	return body, complete, io.ErrUnexpectedEOF
}

// isOneBlock reports whether an event has no comments and empty lines before it, which
// are passed on before the event is complete.
func isOneBlock(event string) bool {
	text := strings.TrimRight(strings.ReplaceAll(event, "\r", ""), "\n")
	return !strings.HasPrefix(text, "\n") && !strings.Contains(text, "\n\n")
}

// randomReader returns data in parts of random lengths, and then an error.
type randomReader struct {
	r    *rand.Rand
	data string
	end  error
}

// Read implements io.Reader.
func (b *randomReader) Read(p []byte) (int, error) {
	if b.data == "" {
		return 0, b.end
	}
	n := copy(p[:1+b.r.IntN(len(p))], b.data)
	if b.r.IntN(2) == 0 {
		n = min(n, 1+b.r.IntN(9))
	}
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *randomReader) Close() error { return nil }

// countingProtocol counts the lines that the checker asks for.
type countingProtocol struct {
	testProtocol
	lines *int
}

func (p countingProtocol) IsEventField(name, value []byte) bool {
	*p.lines++
	return p.testProtocol.IsEventField(name, value)
}

// Guards against a check that begins again with each piece of an event.
func TestEventInPiecesIsCheckedOnce(t *testing.T) {
	const lines = 500
	text := strings.Repeat("weights: 1\n", lines) + "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	checked, passed := 0, 0
	c := eventChecker{protocol: countingProtocol{lines: &checked}}
	var pending []byte
	for i := range len(text) {
		pending = append(pending, text[i])
		n, err := c.check(pending)
		if err != nil {
			t.Fatal(err)
		}
		passed += n
		pending = append(pending[:0], pending[n:]...)
	}
	if checked != lines || passed != len(text) || string(c.lastID) != "2" {
		t.Errorf("got %d lines checked, %d bytes passed, last event %s; want %d, %d, 2", checked, passed, c.lastID, lines, len(text))
	}
}

func BenchmarkCheckEvents(b *testing.B) {
	var data []byte
	c := eventChecker{protocol: testProtocol{}}
	for i := 0; b.Loop(); i++ {
		data = fmt.Appendf(data[:0], "id: %d\ndata: 20.3.1.5589507b4599c01c.edirbwxqlfnttzkkvhmjz\n\n", i+1)
		if n, err := c.check(data); n != len(data) || err != nil {
			b.Fatal(n, err)
		}
	}
}
