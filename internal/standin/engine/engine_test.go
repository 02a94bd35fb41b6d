package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

func start(t *testing.T, opts ...Option) (*Engine, string) {
	t.Helper()
	e := New(opts...)
	t.Cleanup(func() { _ = e.Close() })
	address, err := e.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return e, "http://" + address
}

func post(t *testing.T, c *http.Client, url string, body any) (*http.Response, error) {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return c.Post(url+"/v1/chat/completions", "application/json", bytes.NewReader(b))
}

func raw(role, content string) json.RawMessage {
	b, _ := json.Marshal(Message{role, content})
	return b
}

func chat(content, resumed string) chatRequest {
	req := chatRequest{Stream: true, Messages: []json.RawMessage{raw("user", content)}}
	if resumed != "" {
		req.Messages = append(req.Messages, raw("assistant", resumed))
		req.Continue = true
	}
	return req
}

// read returns the text of a stream, its number of chunks with content and
// whether it ended with [DONE].
func read(t *testing.T, res *http.Response) (text string, chunks int, done bool) {
	t.Helper()
	defer res.Body.Close()
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, chunks, true
		}
		var c chatResponse
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		if s := c.Choices[0].Delta.Content; s != "" {
			text += s
			chunks++
		}
	}
	return text, chunks, false
}

// Guards against a resumed answer that repeats or skips a token.
func TestChatResume(t *testing.T) {
	_, url := start(t, WithTokenRate(5000))
	prompt := PromptText([]Message{{"user", "hello"}})
	want := Answer(prompt, OutputTokens(prompt))
	for _, n := range []int{0, 1, 7, OutputTokens(prompt)} {
		head := Answer(prompt, n)
		res, err := post(t, http.DefaultClient, url, chat("hello", head))
		if err != nil {
			t.Fatal(err)
		}
		text, chunks, done := read(t, res)
		if got := head + text; got != want || !done {
			t.Errorf("after %d tokens: got %q done %t, want %q", n, got, done, want)
		}
		if got, want := chunks, OutputTokens(prompt)-n; got != want {
			t.Errorf("after %d tokens: got %d chunks, want %d", n, got, want)
		}
	}
}

// Guards against a queue that ignores priorities and against a prefix cache
// without effect.
func TestQueueAndCache(t *testing.T) {
	e := New(WithSlots(1), WithTokenRate(0.001))
	defer func() { _ = e.Close() }()
	long := func() *stream {
		a, err := newAnswer(chat(strings.Repeat("x", 1024), ""))
		if err != nil {
			t.Fatal(err)
		}
		return a.stream
	}
	first := long()
	e.submit(first)
	low, high := &stream{priority: 3, total: 1}, &stream{priority: 0, total: 1}
	e.submit(low)
	e.submit(high)
	again := long()
	again.priority = 5
	e.submit(again)
	for _, want := range []*stream{first, high, low, again} {
		e.mu.Lock()
		got := e.running[0]
		e.mu.Unlock()
		if got != want {
			t.Fatalf("running: got priority %d, want %d", got.priority, want.priority)
		}
		e.withdraw(want)
	}
	if got, want := again.cached, 2*BlockTokens; got != want {
		t.Errorf("cached tokens: got %d, want %d", got, want)
	}
}

// Guards against a crash that leaves streams open and against silence that
// also affects new connections.
func TestConnectionFaults(t *testing.T) {
	e, url := start(t, WithTokenRate(300))
	client := &http.Client{Transport: &http.Transport{}}
	res, err := post(t, client, url, chat("a", ""))
	if err != nil {
		t.Fatal(err)
	}
	if err := e.SetFaults(Faults{Silent: true}); err != nil {
		t.Fatal(err)
	}
	quiet := make(chan bool, 1)
	go func() {
		_, _, done := read(t, res)
		quiet <- done
	}()
	prompt := PromptText([]Message{{"user", "b"}})
	other, err := post(t, client, url, chat("b", ""))
	if err != nil {
		t.Fatal(err)
	}
	if text, _, _ := read(t, other); text != Answer(prompt, OutputTokens(prompt)) {
		t.Errorf("new connection: got %q", text)
	}
	if err := e.SetFaults(Faults{Crash: true}); err != nil {
		t.Fatal(err)
	}
	if done := <-quiet; done {
		t.Error("stream on a silent connection: got a whole answer, want a broken one")
	}
	if _, err := post(t, client, url, chat("c", "")); err == nil {
		t.Error("request to a crashed engine: got an answer, want an error")
	}
	if err := e.SetFaults(Faults{}); err != nil {
		t.Fatal(err)
	}
	res, err = post(t, client, url, chat("d", ""))
	if err != nil {
		t.Fatalf("after restart: %v", err)
	}
	_, _, _ = read(t, res)
}

// Guards against old fencing numbers that a checking engine accepts and an
// ignoring one refuses.
func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		var opts []Option
		if checks {
			opts = append(opts, WithFencing())
		}
		e, url := start(t, opts...)
		var got []int
		for _, token := range []int{5, 4, 6} {
			r, _ := http.NewRequest(http.MethodPost, url+"/orders", strings.NewReader("{}"))
			r.Header.Set("Fencing-Token", fmt.Sprint(token))
			res, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
			got = append(got, res.StatusCode)
		}
		want := []int{200, 200, 200}
		if checks {
			want[1] = 409
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("checks %t: got %v, want %v", checks, got, want)
		}
		if got, want := len(e.Orders()), 3; got != want {
			t.Errorf("orders: got %d, want %d", got, want)
		}
	}
}

// Guards against a key that is not noticed in one of the places where it can
// travel.
func TestSawSecret(t *testing.T) {
	e, url := start(t, WithTokenRate(5000))
	e.WatchSecrets("key-1", "key-2", "key-3")
	res, err := post(t, http.DefaultClient, url, chat("key-1", ""))
	if err != nil {
		t.Fatal(err)
	}
	_, _, _ = read(t, res)
	r, _ := http.NewRequest(http.MethodGet, url+"/load?k=key-2", nil)
	r.Header.Set("Other", "Bearer key-3")
	if res, err = http.DefaultClient.Do(r); err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	for _, key := range []string{"key-1", "key-2", "key-3"} {
		if n, ok := e.SawSecret(key); n != 1 || !ok {
			t.Errorf("%s: got %d %t, want 1 true", key, n, ok)
		}
	}
}

// Guards against reports that are younger than the lag.
func TestLoadLag(t *testing.T) {
	e := New()
	defer func() { _ = e.Close() }()
	now := time.Now()
	e.mu.Lock()
	e.faults.ReportLagMS = 2000
	for age := 5; age >= 0; age-- {
		e.reports = append(e.reports, report{at: now.Add(-time.Duration(age) * time.Second), Running: age})
	}
	e.mu.Unlock()
	if got := e.load(now); got.Running != 2 || got.AgeMS != 2000 {
		t.Errorf("got %+v, want the report of 2 s ago", got)
	}
}
