package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/standin/cloud"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/platform/standin"
)

// The bounds are those of the smallest host, except that it has fewer descriptors, so
// that few callers reach the limit.
const (
	hostileMemoryMB = 144
	hostileFDs      = 500
	legalBody       = 4 << 20
	// bodyCallers hold 40 x 4 MB = 160 MB, more than the memory of the process.
	bodyCallers = 40
	// headCallers hold header sections that take up to 40 times their bytes once
	// they are parsed: 120 x 64 KB x 40 is twice the memory.
	headCallers   = 120
	silentCallers = 700
	readCallers   = 60
	// attackTime is how long callers keep on at least.
	attackTime = 3 * time.Second
)

var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "callers")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "quetzalhook")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// TestMain removes the program that the tests have built.
func TestMain(m *testing.M) {
	code := m.Run()
	if built != "" {
		_ = os.RemoveAll(filepath.Dir(built))
	}
	os.Exit(code)
}

var built string

// process is a quetzalhook process under test.
type process struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan struct{}
	output  bytes.Buffer
	peakMB  int
	peakFDs int
	stop    chan struct{}
	wg      sync.WaitGroup

	callers, ready, directory, metrics string
	memory                             *memory.Store
	configuration                      standin.Configuration
	serves                             func() bool // sends an ordinary request
	path                               string      // of a request with a body
	key                                string
}

func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	built = path
	p := &process{t: t, command: exec.Command(path, args...), exited: make(chan struct{}), stop: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // a killed process has an error
		close(p.exited)
	}()
	p.wg.Go(p.sample)
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // it may have exited
		<-p.exited
		close(p.stop)
		p.wg.Wait()
		t.Logf("peak: %d MB, %d descriptors", p.peakMB, p.peakFDs)
	})
	return p
}

// sample records the peaks of memory and descriptors until stop is closed.
func (p *process) sample() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid)) // gone at the end
		for line := range strings.Lines(string(status)) {
			var kb int
			if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
				p.peakMB = max(p.peakMB, kb>>10)
			}
		}
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		p.peakFDs = max(p.peakFDs, len(files))
	}
}

// check ends the sampling and checks what every case requires.
func (p *process) check(terminated bool) {
	p.t.Helper()
	if !terminated {
		end, served := time.Now().Add(30*time.Second), false
		for !served && time.Now().Before(end) {
			if served = p.serves(); !served {
				time.Sleep(100 * time.Millisecond)
			}
		}
		if !served {
			p.t.Error("ordinary request afterwards: got no answer in 30 s, want one")
		}
		select {
		case <-p.exited:
			p.t.Errorf("process: got an end, want it to live: %.2000s", p.output.String())
		default:
		}
	}
	p.stop <- struct{}{} // ends sample, so that the peaks may be read
	p.wg.Wait()
	if p.peakMB > hostileMemoryMB {
		p.t.Errorf("resident memory: got %d MB, want at most %d MB", p.peakMB, hostileMemoryMB)
	}
	if p.peakFDs > hostileFDs {
		p.t.Errorf("open descriptors: got %d, want at most %d", p.peakFDs, hostileFDs)
	}
}

const testKey = "key-of-the-test"

// startHost starts a host with a store, one plain service and one engine.
func startHost(t *testing.T, fds int) *process {
	t.Helper()
	m := memory.New()
	store := standin.NewStore(m)
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	cfg := standin.Configuration{
		Version: 1, Host: "h", EngineService: "engines", PlainService: "desk", IdleTimeout: 15 * time.Second, BodyBytes: legalBody,
		Keys: map[string][]string{"customer": {testKey}, "other": {testKey + "-2"}}, Zones: []string{"z"},
		Routes: []standin.Route{
			{Name: "order", Prefix: "/order", Service: "desk", Kind: "safe", Timeout: 20 * time.Second, Attempts: 2, LatencyTarget: time.Second},
			{Name: "long", Prefix: "/long", Service: "desk", Kind: "safe", Timeout: 20 * time.Second, Attempts: 2, LatencyTarget: time.Second},
		},
	}
	if err := cfg.Put(m); err != nil {
		t.Fatal(err)
	}
	ordinary := standin.NewUpstream("u", false, standin.NewStoppedStreams(), func(standin.Arrival) {}, func(standin.Arrival, time.Time) {})
	upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			ordinary.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Quetzalhook-Response-Seal", "seal-"+r.Header.Get("Quetzalhook-Request-Id"))
		for part := make([]byte, 16<<10); ; { // until the host closes the connection
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	upstream.Config.ConnContext = standin.ConnContext
	upstream.Listener = standin.Listener{Listener: upstream.Listener}
	upstream.Start()
	t.Cleanup(func() {
		upstream.CloseClientConnections()
		upstream.Close()
	})
	record := standin.UpstreamRecord{ID: "u", Service: "desk", Address: upstream.Listener.Addr().String(), Zone: "z", StartedMS: time.Now().UnixMilli()}
	if err := record.Put(m); err != nil {
		t.Fatal(err)
	}
	ports := hostPorts(t, 5)
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	settings := fmt.Sprintf(`{host: one, zone: z, region: r, zones: {z: r}, listen: {callers: %q, ready: %q, directory: %q},
inner-ports: [%d, %d], metrics-port: %d, store: %q, processor-share: 1, processors: 1, stop-s: 3, answer-life-s: 1, lease-ms: 3000,
leave-ms: 2500, apply-ms: 2500, usage-window-s: 5, usage-due-s: 10, retry-ratio: 0.2, retry-slack: 56, retry-window-s: 10,
memory-mb: %d, max-fds: %d}`, address(2), address(1), address(3), ports[0], ports[0]+4, ports[4], server.Listener.Addr().String(), hostileMemoryMB, fds)
	file := filepath.Join(t.TempDir(), "host.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, "host", "--settings", file, "--peer-secret", "secret", "--log-level", "error")
	p.callers, p.ready, p.directory, p.metrics = address(2), address(1), address(3), address(4)
	p.memory, p.configuration, p.path, p.key = m, cfg, "/order/1", testKey
	waitListening(t, "http://"+p.ready+"/quetzalhook/ready")
	p.serves = func() bool {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		call := standin.Call{ID: quetzalhook.RequestID(fmt.Sprint("ordinary-", time.Now().UnixNano())), Host: "h", Method: http.MethodPost, Path: "/order/1", Body: "x", Key: testKey + "-2", Timeout: 5 * time.Second}
		r := call.Send(context.WithoutCancel(t.Context()), client, p.callers)
		return r.Status == http.StatusOK && r.Complete
	}
	p.await("service", p.serves)
	return p
}

func (p *process) await(what string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%s: did not happen within 20 s", what)
		}
	}
}

// attack opens n connections to address at once and runs play on each.
// It returns a function that closes them and waits for all.
func attack(t *testing.T, address string, n int, play func(i int, c net.Conn)) func() {
	t.Helper()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return // the host may refuse such a caller
			}
			done := make(chan struct{})
			wg.Go(func() {
				select {
				case <-stop:
				case <-done:
				}
				_ = c.Close() // ends a blocked call
			})
			defer close(done)
			play(i, c)
			select {
			case <-stop: // a connection that is left open stays so until the end
			case <-time.After(time.Minute):
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

func (p *process) head(length string) string {
	return "POST " + p.path + " HTTP/1.1\r\nHost: h\r\nApi-Key: " + p.key + "\r\nAuthorization: Bearer " + p.key + "\r\n" + length + "\r\n\r\n"
}

// send writes text until the connection fails.
func send(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// repeat sends parts until the connection fails.
func repeat(c net.Conn, part string, pause time.Duration) {
	for send(c, part) == nil {
		time.Sleep(pause)
	}
}

// cases are the ways in which callers use memory and connections of a process.
func (p *process) cases() map[string]func() func() {
	on := func(address string, n int, play func(i int, c net.Conn)) func() func() {
		return func() func() { return attack(p.t, address, n, play) }
	}
	names := headerLines(60 << 10)
	return map[string]func() func(){
		"head-over-limit": on(p.callers, headCallers, func(_ int, c net.Conn) { _ = send(c, "GET / HTTP/1.1\r\nHost: h\r\n"+names+names+"\r\n") }),
		"head-without-end": on(p.callers, headCallers, func(_ int, c net.Conn) {
			if send(c, "GET / HTTP/1.1\r\n") == nil {
				repeat(c, names, 0)
			}
		}),
		"head-held": on(p.callers, headCallers, func(_ int, c net.Conn) { _ = send(c, "GET / HTTP/1.1\r\nHost: h\r\n"+names) }),
		"slow-head": on(p.callers, headCallers, func(_ int, c net.Conn) {
			if send(c, "GET / HTTP/1.1\r\nHost: h\r\n") == nil {
				repeat(c, "a: b\r\n", 50*time.Millisecond)
			}
		}),
		"empty-lines": on(p.callers, headCallers, func(_ int, c net.Conn) { repeat(c, strings.Repeat("\r\n", 8<<10), 0) }),
		"bodies-whole": on(p.callers, bodyCallers, func(_ int, c net.Conn) {
			if send(c, p.head(fmt.Sprint("Content-Length: ", legalBody))+strings.Repeat("x", legalBody-1)) != nil {
				return
			}
		}),
		"bodies-piecewise": on(p.callers, bodyCallers, func(_ int, c net.Conn) {
			part := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
			err := send(c, p.head("Transfer-Encoding: chunked"))
			for i := 0; err == nil && i < legalBody/(64<<10)-1; i++ {
				err = send(c, part)
			}
			if err == nil {
				_ = send(c, fmt.Sprintf("%x\r\n%s", 64<<10, strings.Repeat("x", 64<<10-1)))
			}
		}),
		"silent": on(p.callers, silentCallers, func(int, net.Conn) {}),
		"unread": on(p.callers, readCallers, func(_ int, c net.Conn) {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = send(c, strings.Replace(p.head("Content-Length: 0"), p.path, "/long", 1))
		}),
	}
}

// headerLines returns short header lines with different names, of n bytes.
func headerLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "h%x:\r\n", i)
	}
	return b.String()
}

// Guards against callers that end a host by the memory or the descriptors that it
// holds for them.
func TestHostileCallers(t *testing.T) {
	for _, name := range []string{
		"head-over-limit", "head-without-end", "head-held", "slow-head", "empty-lines", "bodies-whole", "bodies-piecewise", "silent", "unread",
	} {
		t.Run(name, func(t *testing.T) {
			p := startHost(t, hostileFDs)
			end := p.cases()[name]()
			time.Sleep(attackTime)
			end()
			p.check(false)
		})
	}
}

// all starts all cases at once.
func (p *process) all() func() {
	var ends []func()
	for _, play := range p.cases() {
		ends = append(ends, play())
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// Guards against a host that a mix of such callers ends, also while its configuration
// changes.
func TestHostileCallersTogether(t *testing.T) {
	p := startHost(t, hostileFDs)
	end := p.all()
	time.Sleep(attackTime / 2)
	p.configuration.Version++
	if err := p.configuration.Put(p.memory); err != nil {
		t.Fatal(err)
	}
	time.Sleep(attackTime / 2)
	end()
	p.check(false)
}

// Guards against the listeners that do not serve requests.
func TestHostileCallersOfOtherListeners(t *testing.T) {
	p := startHost(t, hostileFDs)
	var ends []func()
	names := headerLines(60 << 10)
	for _, address := range []string{p.directory, p.ready, p.metrics} {
		ends = append(ends,
			attack(t, address, silentCallers/3, func(int, net.Conn) {}),
			attack(t, address, headCallers/3, func(_ int, c net.Conn) { _ = send(c, "GET / HTTP/1.1\r\nHost: h\r\n"+names) }),
			attack(t, address, bodyCallers/3, func(_ int, c net.Conn) { _ = send(c, p.head(fmt.Sprint("Content-Length: ", legalBody))+names) }))
	}
	time.Sleep(attackTime)
	for _, end := range ends {
		end()
	}
	for _, url := range []string{"http://" + p.directory + "/quetzalhook/resolve?name=h&region=r&zone=z", "http://" + p.ready + "/quetzalhook/ready", "http://" + p.metrics + "/debug/vars"} {
		p.await(url, func() bool {
			resp, err := http.Get(url)
			if err != nil {
				return false
			}
			return errors.Join(resp.Body.Close()) == nil && resp.StatusCode == http.StatusOK
		})
	}
	p.check(false)
}

// Guards against a stop that such callers delay without end.
func TestStopUnderHostileCallers(t *testing.T) {
	p := startHost(t, hostileFDs)
	end := p.all()
	time.Sleep(attackTime / 2)
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.exited:
	case <-time.After(30 * time.Second):
		t.Error("process after SIGTERM: got none that ends in 30 s, want it to exit")
	}
	end()
	p.check(true)
}

// Guards against bounds that keep the smallest host from serving one request of the
// largest legal size, whole or in pieces.
func TestLargestRequest(t *testing.T) {
	p := startHost(t, 3075)
	for _, declared := range []bool{true, false} {
		body := io.Reader(bytes.NewReader(make([]byte, legalBody)))
		if !declared {
			body = io.MultiReader(body) // of unknown length
		}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.callers+"/order/1", body)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("Api-Key", testKey)
		r.Header.Set("Quetzalhook-Request-Id", fmt.Sprint("largest-", declared))
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if got, want := resp.StatusCode, http.StatusOK; got != want {
			t.Errorf("largest request (length declared: %t): got status %d, want %d", declared, got, want)
		}
	}
	p.check(false)
}

// Guards against callers that end a host of the serve command.
func TestHostileCallersOfServe(t *testing.T) {
	platform, e := httptest.NewServer(cloud.New().Handler()), engine.New(engine.WithModels("m"))
	engineAddress, err := e.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = e.Close()
		platform.CloseClientConnections()
		platform.Close()
	})
	ports := freePorts(t, 2)
	address := fmt.Sprintf("127.0.0.1:%d", ports[0])
	p := startProcess(t, "serve", "--host", "one", "--zone", "z", "--listen", address, "--peer-listen", fmt.Sprintf("127.0.0.1:%d", ports[1]),
		"--platform", platform.Listener.Addr().String(), "--peer-secret", "peer-secret-0123456789", "--operator-key", operatorKey,
		"--log-level", "error", "--memory-mb", fmt.Sprint(hostileMemoryMB), "--max-fds", fmt.Sprint(hostileFDs))
	p.callers, p.path = address, "/v1/chat/completions"
	post := func(path, key, body string, result any) bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, strings.NewReader(body))
		if err != nil {
			return false
		}
		r.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode < http.StatusMultipleChoices && (result == nil || json.Unmarshal(data, result) == nil)
	}
	var plan struct{ ID string }
	var key struct{ Secret string }
	p.await("plan", func() bool {
		return post("/operator/plans", operatorKey, fmt.Sprintf(serveDocument, engineAddress), &plan)
	})
	p.await("confirmation", func() bool { return post("/operator/plans/"+plan.ID+"/confirm", operatorKey, "", nil) })
	p.await("key", func() bool { return post("/operator/keys", operatorKey, `{"customer":"a"}`, &key) })
	p.key = key.Secret
	p.serves = func() bool {
		return post(p.path, p.key, `{"model":"m","messages":[{"role":"user","content":"x"}],"metadata":{"output_tokens":1}}`, nil)
	}
	p.await("service", p.serves)
	end := p.all()
	time.Sleep(attackTime)
	end()
	p.check(false)
}

const (
	operatorKey   = "operator-key-0123456789"
	serveDocument = `
zones: [{name: z, region: r}]
classes: [{name: question, tier: 0, ttft-target: 5s}]
customers: [{name: a, weight: 1, classes: [question], default-class: question}]
models: [{name: m}]
upstreams:
  - {name: e, kind: engine, address: %s, zone: z, models: [m], slots: 8, token-rate: 100, prefill-rate: 8000}
routes: [{path: /v1/chat/completions, kind: chat, repeatable: true}]
keys: {currency-limit: 10s}
retention: {journal: 1h}
`
)
