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

func startEngine(t *testing.T, opts ...Option) (*Engine, string) {
	t.Helper()
	e := New(opts...)
	t.Cleanup(func() { _ = e.Close() })
	address, err := e.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return e, "http://" + address
}

func postChat(t *testing.T, c *http.Client, url string, body any) (*http.Response, error) {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return c.Post(url+"/v1/chat/completions", "application/json", bytes.NewReader(b))
}

func rawMessage(role, content string) json.RawMessage {
	b, _ := json.Marshal(Message{role, content})
	return b
}

func streamRequest(content, resumed string) chatRequest {
	req := chatRequest{Stream: true, Messages: []json.RawMessage{rawMessage("user", content)}}
	if resumed != "" {
		req.Messages = append(req.Messages, rawMessage("assistant", resumed))
		req.Continue = true
	}
	return req
}

// readStream reads a streamed answer and returns its text, the number of chunks
// with content and whether it ended with [DONE].
func readStream(t *testing.T, res *http.Response) (text string, chunks int, done bool) {
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
	_, url := startEngine(t, WithTokenRate(5000))
	prompt := PromptText([]Message{{"user", "hello"}})
	want := Answer(prompt, OutputTokens(prompt))
	for _, n := range []int{0, 1, 7, OutputTokens(prompt)} {
		head := Answer(prompt, n)
		res, err := postChat(t, http.DefaultClient, url, streamRequest("hello", head))
		if err != nil {
			t.Fatal(err)
		}
		text, chunks, done := readStream(t, res)
		if got := head + text; got != want || !done {
			t.Errorf("after %d tokens: got %q done %t, want %q", n, got, done, want)
		}
		if got, want := chunks, OutputTokens(prompt)-n; got != want {
			t.Errorf("after %d tokens: got %d chunks, want %d", n, got, want)
		}
	}
}

// Guards against a waiting list that ignores priorities and against cached prompt
// blocks that are not counted as hits.
func TestQueueAndCache(t *testing.T) {
	e := New(WithSlots(1), WithTokenRate(0.001))
	defer func() { _ = e.Close() }()
	long := func() *stream {
		a, err := newAnswer(streamRequest(strings.Repeat("x", 1024), ""))
		if err != nil {
			t.Fatal(err)
		}
		return a.stream
	}
	first := long()
	e.submit(first)
	low, high := &stream{priority: 3, end: 1}, &stream{priority: 0, end: 1}
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
		e.cancelStream(want)
	}
	if got, want := again.cachedTokens, 2*BlockTokens; got != want {
		t.Errorf("cached tokens: got %d, want %d", got, want)
	}
}

// Guards against Faults.Crash leaving connections open and against Faults.Silent
// affecting connections that are opened later.
func TestConnectionFaults(t *testing.T) {
	e, url := startEngine(t, WithTokenRate(300))
	client := &http.Client{Transport: &http.Transport{}}
	res, err := postChat(t, client, url, streamRequest("a", ""))
	if err != nil {
		t.Fatal(err)
	}
	if err := e.SetFaults(Faults{Silent: true}); err != nil {
		t.Fatal(err)
	}
	silentDone := make(chan bool, 1)
	go func() {
		_, _, done := readStream(t, res)
		silentDone <- done
	}()
	prompt := PromptText([]Message{{"user", "b"}})
	other, err := postChat(t, client, url, streamRequest("b", ""))
	if err != nil {
		t.Fatal(err)
	}
	if text, _, _ := readStream(t, other); text != Answer(prompt, OutputTokens(prompt)) {
		t.Errorf("new connection: got %q", text)
	}
	if err := e.SetFaults(Faults{Crash: true}); err != nil {
		t.Fatal(err)
	}
	if done := <-silentDone; done {
		t.Error("stream on a silent connection: got a complete answer, want an incomplete one")
	}
	if _, err := postChat(t, client, url, streamRequest("c", "")); err == nil {
		t.Error("request to a crashed engine: got an answer, want an error")
	}
	if err := e.SetFaults(Faults{}); err != nil {
		t.Fatal(err)
	}
	res, err = postChat(t, client, url, streamRequest("d", ""))
	if err != nil {
		t.Fatalf("after restart: %v", err)
	}
	_, _, _ = readStream(t, res)
}

// Guards against old fencing tokens that are accepted with WithFencing or refused
// without it.
func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		var opts []Option
		if checks {
			opts = append(opts, WithFencing())
		}
		e, url := startEngine(t, opts...)
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

// Guards against a caller key in the body, the query or a header that is not
// detected.
func TestSawSecret(t *testing.T) {
	e, url := startEngine(t, WithTokenRate(5000))
	e.WatchSecrets("key-1", "key-2", "key-3")
	res, err := postChat(t, http.DefaultClient, url, streamRequest("key-1", ""))
	if err != nil {
		t.Fatal(err)
	}
	_, _, _ = readStream(t, res)
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

// Guards against load reports that are newer than the report lag allows.
func TestLoadLag(t *testing.T) {
	e := New()
	defer func() { _ = e.Close() }()
	now := time.Now()
	e.mu.Lock()
	e.faults.ReportLagMS = 2000
	for age := 5; age >= 0; age-- {
		e.snapshots = append(e.snapshots, loadReport{at: now.Add(-time.Duration(age) * time.Second), Running: age})
	}
	e.mu.Unlock()
	if got := e.reportedLoad(now); got.Running != 2 || got.AgeMS != 2000 {
		t.Errorf("got %+v, want the report of 2 s ago", got)
	}
}
