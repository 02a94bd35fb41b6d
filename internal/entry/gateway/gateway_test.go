package gateway

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/connection"
	"quetzalhook/internal/platform/intake"
	"quetzalhook/internal/platform/response"
	"quetzalhook/internal/record/routing"
)

// testEnvironment is a gateway between a scripted caller and scripted
// upstreams. It also implements the dispatcher, the mover and the other
// dependencies of the gateway.
type testEnvironment struct {
	t         *testing.T
	gateway   *Gateway
	pool      *connection.Pool
	invalid   response.Counts
	server    *httptest.Server
	table     *routing.Table
	upstreams map[string]*scriptedUpstream

	mu           sync.Mutex
	offers       []string // upstreams of the next attempts, in order; "refuse" refuses, "wait" waits for the context
	ends         []string
	usage        []string
	results      []string
	moves        []string
	lost         int      // attempts that have lost their upstream
	unusable     string   // ID of an upstream that the host knows not to be usable
	regionsAfter string   // see runScript
	builds       []string // that the attempts were asked for
	// moveFails selects the copy that fails: "first", "last", "stopped" (the
	// last one, and the source keeps the KV cache) or "no-run" (the run has
	// ended before the last one).
	moveFails string
}

func newTestEnvironment(t *testing.T) *testEnvironment {
	env := &testEnvironment{t: t, upstreams: make(map[string]*scriptedUpstream), table: testTable()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := quetzalhook.ClockFunc(time.Now)
	env.pool = connection.NewPool(clock, connection.WithBudget(intake.NewBudget(hostMemory, intake.AnswerShare)), connection.WithCounts(&env.invalid))
	env.gateway = New(Deps{
		Tables: env, Protocol: testProtocol{}, Dispatcher: env, Mover: env, Pool: env.pool, HostCount: func() int { return 1 },
		CountUsage: func(c quetzalhook.CustomerID) { env.record(&env.usage, string(c)) }, Observer: env, Region: "r", Clock: clock, Log: log,
		Usable: func(u quetzalhook.Upstream) bool {
			env.mu.Lock()
			defer env.mu.Unlock()
			return u.ID == "" || string(u.ID) != env.unusable
		},
	})
	env.server = httptest.NewUnstartedServer(env.gateway)
	env.gateway.Attach(env.server.Config)
	env.server.Config.ErrorLog = nil
	env.server.Start()
	return env
}

func testTable() *routing.Table {
	plain := []routing.Share{{Service: "plain", Weight: 1}}
	model := []routing.Share{{Service: "model", Weight: 1}}
	t := &routing.Table{
		Version: 1,
		Routes: []routing.Route{
			{Name: "lookup", Host: "h", Prefix: "/lookup/", Kind: routing.KindSafe, Timeout: time.Second, Attempts: 2, Split: plain},
			{Name: "order", Host: "h", Prefix: "/order/", Kind: routing.KindUnsafe, Timeout: 300 * time.Millisecond, Attempts: 1, Split: plain},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: routing.KindSafe, Timeout: time.Second, Attempts: 1, Public: true, Split: plain},
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.KindStream, Timeout: time.Second, Attempts: 1, Split: model},
			{Name: "summary", Host: "h", Prefix: "/summary/", Kind: routing.KindStream, Timeout: time.Second, Attempts: 1, GapTarget: 100 * time.Millisecond, Split: model},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: routing.KindStream, Resumable: true, Timeout: time.Second, Attempts: 2, Split: model},
		},
		Services:  []routing.Service{{Name: "plain"}, {Name: "model", Engine: &routing.Engine{Slots: 4, CanMove: true}}},
		Limits:    routing.Limits{BodyBytes: 100},
		Customers: []routing.Customer{{ID: "c", Keys: []routing.KeyHash{routing.HashKey("key")}}},
	}
	t.Index()
	return t
}

// regionsTable returns a newer table: the regions that all routes and that the customer
// allow, each separated by commas; "-" for all.
func regionsTable(lists string) *routing.Table {
	parse := func(list string) quetzalhook.Regions {
		if list == "-" {
			return quetzalhook.OnlyRegions()
		}
		var regions []quetzalhook.Region
		for r := range strings.SplitSeq(list, ",") {
			regions = append(regions, quetzalhook.Region(r))
		}
		return quetzalhook.OnlyRegions(regions...)
	}
	ofRoutes, ofCustomer, _ := strings.Cut(lists, " ")
	t := testTable()
	t.Version = 2
	for i := range t.Routes {
		t.Routes[i].Regions = parse(ofRoutes)
	}
	t.Customers[0].Regions = parse(ofCustomer)
	return t
}

func (env *testEnvironment) close() {
	env.server.Close()
	_ = env.gateway.Close()
	_ = env.pool.Close()
	for _, u := range env.upstreams {
		u.close()
	}
}

func (env *testEnvironment) record(list *[]string, entry string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	*list = append(*list, entry)
}

// Table implements Tables.
func (env *testEnvironment) Table() (*routing.Table, <-chan struct{}) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.table, nil
}

func (env *testEnvironment) setTable(t *routing.Table) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.table = t
}

// Served implements Observer.
func (env *testEnvironment) Served(class quetzalhook.Class, _ quetzalhook.CustomerID, _, _ time.Duration, _ int) {
	env.record(&env.results, string(class.Name())+" served")
}

// Failed implements Observer.
func (env *testEnvironment) Failed(class quetzalhook.Class, _ quetzalhook.CustomerID, kind string) {
	env.record(&env.results, string(class.Name())+" "+kind)
}

// Copy implements quetzalhook.Mover. Unless the first copy fails, the last one
// ends the stream at its source.
func (env *testEnvironment) Copy(_ context.Context, id quetzalhook.RequestID, source, destination string, last bool) (string, error) {
	from, to := env.nameOf(source), env.nameOf(destination)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.moves = append(env.moves, fmt.Sprintf("%s %s-%s last=%v", id, from, to, last))
	switch {
	case env.moveFails == "no-run" && last:
		env.upstreams[from].runStopped <- struct{}{}
		return "", quetzalhook.ErrNotRunning
	case env.moveFails == "first" && !last:
		env.upstreams[from].runStopped <- struct{}{}
		return "", errors.New("no room")
	case !last:
		if lists, ok := strings.CutPrefix(env.regionsAfter, "copy "); ok {
			env.table, env.regionsAfter = regionsTable(lists), ""
			env.upstreams[from].runStopped <- struct{}{}
		}
		return from + "/copy", nil
	}
	env.upstreams[from].runStopped <- struct{}{}
	switch env.moveFails {
	case "last":
		return "", errors.New("no answer")
	case "stopped":
		return from + "/kept", errors.New("no room")
	}
	return from + "/copy", nil
}

// relieve waits for a stream of an upstream and takes it away.
func (env *testEnvironment) relieve(id quetzalhook.UpstreamID, end bool) {
	s := env.gateway.streams
	for isOpen := false; !isOpen; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		isOpen = len(s.open[id]) > 0
		s.mu.Unlock()
	}
	env.gateway.Relieve("r1"+movedSuffix, id, end)
}

// Free implements quetzalhook.Mover.
func (env *testEnvironment) Free(_ context.Context, kvHandle string) error {
	env.record(&env.moves, "free "+kvHandle)
	return nil
}

func (env *testEnvironment) nameOf(address string) string {
	for name, u := range env.upstreams {
		if u.listener.Addr().String() == address {
			return name
		}
	}
	return "?"
}

// Submit implements quetzalhook.Dispatcher.
func (env *testEnvironment) Submit(_ context.Context, r quetzalhook.Request) quetzalhook.Ticket {
	return &ticket{env: env, request: r}
}

// ticket returns the scripted offers as attempts.
type ticket struct {
	env     *testEnvironment
	request quetzalhook.Request
}

func (t *ticket) Next(ctx context.Context) (quetzalhook.Attempt, error) {
	env := t.env
	t.request.UpdateScope()
	env.record(&env.builds, cmp.Or(string(t.request.Build), "any"))
	env.mu.Lock()
	defer env.mu.Unlock()
	if len(env.offers) == 0 {
		return quetzalhook.Attempt{}, &quetzalhook.Refusal{Kind: quetzalhook.RefuseRetryBudget}
	}
	name := env.offers[0]
	env.offers = env.offers[1:]
	if late, ok := strings.CutPrefix(name, "late-"); ok { // offered after 200 ms, although the context may have ended
		name = late
		env.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		env.mu.Lock()
	}
	switch name {
	case "unreached":
		return quetzalhook.Attempt{}, &quetzalhook.Refusal{Kind: quetzalhook.RefuseUnreached}
	case "refuse":
		return quetzalhook.Attempt{}, &quetzalhook.Refusal{Kind: quetzalhook.RefuseOverload, RetryAfter: 1500 * time.Millisecond}
	case "wait":
		env.mu.Unlock()
		<-ctx.Done()
		env.mu.Lock()
		return quetzalhook.Attempt{}, context.Cause(ctx)
	}
	name, build, _ := strings.Cut(name, "=")
	name, region, _ := strings.Cut(name, "@")
	region, sourceRegion, _ := strings.Cut(region, "<")
	if lists, ok := strings.CutPrefix(env.regionsAfter, "send "); ok {
		env.table, env.regionsAfter = regionsTable(lists), ""
	}
	env.regionsAfter = strings.Replace(env.regionsAfter, "resume ", "send ", 1)
	source := ""
	if sourceRegion != "" {
		source = "source-in-" + sourceRegion
	}
	address := "127.0.0.1:1"
	if u := env.upstreams[name]; u != nil {
		address = u.listener.Addr().String()
	}
	u := quetzalhook.Upstream{ID: quetzalhook.UpstreamID(name), Address: address, Region: quetzalhook.Region(region), Build: quetzalhook.Build(build)}
	return quetzalhook.Attempt{Upstream: u, Urgency: 2, Source: source, SourceID: quetzalhook.UpstreamID(source), SourceRegion: quetzalhook.Region(sourceRegion)}, nil
}

var endNames = map[quetzalhook.End]string{
	quetzalhook.EndFinished: "finished", quetzalhook.EndNotSent: "not-sent", quetzalhook.EndBroken: "broken",
	quetzalhook.EndCallerGone: "caller-gone",
}

func (t *ticket) Observe(quetzalhook.Verdict) {}

func (t *ticket) Progress(int) {}

func (t *ticket) End(e quetzalhook.AttemptEnd) {
	name := endNames[e.End]
	switch {
	case e.Relieved && e.Lost:
		name += "-relieved-lost"
	case e.Relieved:
		name += "-relieved"
	}
	t.env.record(&t.env.ends, name)
	if e.Lost {
		t.env.mu.Lock()
		t.env.lost++
		t.env.mu.Unlock()
	}
}

func (t *ticket) Close() {}

// scriptedUpstream answers each request with the next scripted step and records
// the received requests.
type scriptedUpstream struct {
	listener        net.Listener
	callerGone      chan struct{}  // receives a value when the gateway closes the connection during "hold"
	announceLeaving func()         // tells the gateway that the upstream is leaving
	awaitAsked      func(n int)    // waits until n attempts were asked for
	relieve         func(end bool) // takes the stream r1 away from the upstream once it has begun
	answerAll       func(net.Conn) // if set, answers every request instead of the script
	// answerEarly, if set, answers every request before its body is read.
	answerEarly func(c net.Conn, body io.Reader)
	runStopped  chan struct{} // receives a value when "until-moved" ends: the run was told to stop, or the first copy failed

	mu       sync.Mutex
	steps    []string
	received []string
	wg       sync.WaitGroup
}

func newScriptedUpstream(t *testing.T) *scriptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &scriptedUpstream{listener: l, callerGone: make(chan struct{}, 1), runStopped: make(chan struct{}, 1)}
	u.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.wg.Go(func() { u.serve(c) })
		}
	})
	return u
}

func (u *scriptedUpstream) close() {
	_ = u.listener.Close()
	u.wg.Wait()
}

func (u *scriptedUpstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	written := "" // last answer on the connection
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if u.answerEarly != nil {
			u.answerEarly(c, request.Body)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if u.answerAll != nil {
			u.answerAll(c)
			return
		}
		for _, step := range strings.Split(u.nextStep(request, body), " | ") {
			switch {
			case step == "close":
				return
			case step == "reset":
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			case step == "again": // write the last answer on the connection once more, if any
				_, _ = io.WriteString(c, written)
			case step == "until-moved":
				u.announceLeaving()
				<-u.runStopped
			case strings.HasPrefix(step, "leave-until-asked "): // leave, and wait until N attempts were asked for
				u.announceLeaving()
				n, _ := strconv.Atoi(strings.TrimPrefix(step, "leave-until-asked "))
				u.awaitAsked(n)
			case step == "until-relieved":
				u.relieve(false)
				<-u.runStopped
			case step == "relieve":
				u.relieve(false)
			case step == "relieve-end":
				u.relieve(true)
			case strings.HasPrefix(step, "fill "):
				n, _ := strconv.Atoi(strings.TrimPrefix(step, "fill "))
				_, _ = io.WriteString(c, strings.Repeat("x", n))
			case strings.HasPrefix(step, "drip "): // repeat TEXT until the gateway closes the connection
				pause, text, _ := strings.Cut(strings.TrimPrefix(step, "drip "), " ")
				repeatText(c, pause, -1, text)
				return
			case strings.HasPrefix(step, "slow "): // write TEXT N times, with "#" replaced by the number
				fields := strings.SplitN(step, " ", 4)
				n, _ := strconv.Atoi(fields[2])
				repeatText(c, fields[1], n, fields[3])
			case step == "hold": // wait until the gateway closes the connection
				_, _ = io.Copy(io.Discard, r)
				u.callerGone <- struct{}{}
				return
			default:
				unnamed := strings.HasPrefix(step, "unnamed ") // the answer does not name its request
				text, err := strconv.Unquote(`"` + strings.TrimPrefix(step, "unnamed ") + `"`)
				if err != nil {
					panic(err)
				}
				if id := request.Header.Get("Request-Id"); id != "" && !unnamed && strings.HasPrefix(text, "HTTP/") && !strings.Contains(text, "Request-Id") {
					text = strings.Replace(text, "\r\n", "\r\nRequest-Id: "+id+"\r\n", 1)
				}
				written = text
				_, _ = io.WriteString(c, text)
			}
		}
	}
}

// repeatText writes an escaped text after every pause, n times or, if n is
// negative, until a write fails.
func repeatText(w io.Writer, pause string, n int, text string) {
	interval, err := time.ParseDuration(pause)
	if err != nil {
		panic(err)
	}
	unquoted, err := strconv.Unquote(`"` + text + `"`)
	if err != nil {
		panic(err)
	}
	for i := 1; n < 0 || i <= n; i++ {
		time.Sleep(interval)
		if _, err := io.WriteString(w, strings.ReplaceAll(unquoted, "#", strconv.Itoa(i))); err != nil {
			return
		}
	}
}

// nextStep records a request and returns the next scripted step.
func (u *scriptedUpstream) nextStep(r *http.Request, body []byte) string {
	var headers []string
	for name, values := range r.Header {
		if name != "Content-Length" && name != "User-Agent" {
			headers = append(headers, strings.ToLower(name)+"="+strings.Join(values, ","))
		}
	}
	slices.Sort(headers)
	for i, h := range headers {
		if strings.HasPrefix(h, "timeout-ms=") {
			headers[i] = "timeout-ms=..."
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.received = append(u.received, fmt.Sprintf("%s %s host=%s body=%q %s", r.Method, r.RequestURI, r.Host, body, strings.Join(headers, " ")))
	if len(u.steps) == 0 {
		return "close"
	}
	step := u.steps[0]
	u.steps = u.steps[1:]
	return step
}

// Guards against these failures:
//   - a stream breaks because its engine leaves as planned, loses or repeats
//     events in a move, or looks complete although the move failed
//   - a request reaches an upstream changed, with a caller's key, or with
//     headers that only a host may set
//   - a request that may run only once is sent twice
//   - an error response says that a request has not run although it may have
//   - a response looks complete but is not, or belongs to another request
//   - a request, its KV cache or cached parts of its prompt reach a region that the
//     table at its arrival or the newest one does not allow
func TestRequests(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		env := newTestEnvironment(t)
		defer env.close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return env.runScript(t, d.Input)
		})
	})
}

// runScript runs one test case. Its lines are:
//
//	upstream NAME STEP       adds a step to the script of an upstream
//	offer NAMES              sets the upstreams of the next attempts, with their region
//	                         as NAME@REGION and that of a source of cached parts as
//	                         NAME@REGION<SOURCE-REGION, and with their build as NAME=BUILD
//	regions ROUTES CUSTOMER  sets the regions that the routes and the customer allow
//	regions-after send|resume|copy ROUTES CUSTOMER  does so when the next upstream, or the
//	                         one after it, is chosen, or at the first copy of a move
//	move-fails COPY          selects the copy of a move that fails
//	no-table                 removes the routing table
//	send REQUEST             sends a request
//	disconnect NAME REQUEST  sends a request, and disconnects when the upstream has it
//	stall-limit DURATION     sets the shortest stall limit of streams
//	took-less DURATION       prints a line if the last request took longer
//	unusable UPSTREAM        makes an upstream unusable, as the host knows
//	show-lost                prints how many attempts have lost their upstream
//	show-builds              prints the builds that the attempts were asked for
//	show-invalid             prints the counts of invalid responses, also of earlier scripts
//	cut-only                 prints only whether the last response was cut
func (env *testEnvironment) runScript(t *testing.T, input string) string {
	env.awaitRequests()
	env.mu.Lock()
	env.offers, env.ends, env.usage, env.results, env.moves, env.moveFails, env.regionsAfter = nil, nil, nil, nil, nil, "", ""
	env.lost, env.unusable, env.builds = 0, "", nil
	env.mu.Unlock()
	for _, u := range env.upstreams {
		u.mu.Lock()
		u.steps, u.received = nil, nil
		u.mu.Unlock()
		select {
		case <-u.callerGone: // of an earlier script
		default:
		}
	}
	defer env.setTable(testTable())
	env.gateway.SetUpstreams(nil)
	env.gateway.deps.StallLimit = time.Minute
	var out strings.Builder
	var took time.Duration
	for line := range strings.Lines(input) {
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch verb {
		case "stall-limit":
			env.gateway.deps.StallLimit = parseDuration(t, rest)
		case "took-less":
			if limit := parseDuration(t, rest); took > limit {
				fmt.Fprintf(&out, "took %v, want less than %v\n", took, limit)
			}
		case "cut-only":
			isCut := strings.HasPrefix(out.String(), "caller: 200 cut ")
			out.Reset()
			fmt.Fprintf(&out, "cut: %v\n", isCut)
		case "upstream":
			name, step, _ := strings.Cut(rest, " ")
			if env.upstreams[name] == nil {
				env.upstreams[name] = newScriptedUpstream(t)
				env.upstreams[name].announceLeaving = func() {
					env.gateway.SetUpstreams([]quetzalhook.Upstream{
						{ID: quetzalhook.UpstreamID(name), State: quetzalhook.UpstreamLeaving, LeavesIn: time.Millisecond},
					})
				}
			}
			u := env.upstreams[name]
			u.awaitAsked = env.awaitAsked
			u.relieve = func(end bool) { env.relieve(quetzalhook.UpstreamID(name), end) }
			u.mu.Lock()
			u.steps = append(u.steps, step)
			u.mu.Unlock()
		case "offer":
			env.mu.Lock()
			env.offers = strings.Fields(rest)
			env.mu.Unlock()
		case "move-fails":
			env.mu.Lock()
			env.moveFails = rest
			env.mu.Unlock()
		case "unusable":
			env.mu.Lock()
			env.unusable = rest
			env.mu.Unlock()
		case "show-lost":
			env.awaitRequests()
			env.mu.Lock()
			fmt.Fprintf(&out, "lost: %d\n", env.lost)
			env.mu.Unlock()
		case "show-builds":
			env.awaitRequests()
			env.mu.Lock()
			fmt.Fprintf(&out, "builds: %s\n", strings.Join(env.builds, " "))
			env.mu.Unlock()
		case "show-invalid":
			fmt.Fprintf(&out, "invalid: %v\n", env.invalid.Snapshot())
		case "regions":
			env.setTable(regionsTable(rest))
		case "regions-after":
			env.mu.Lock()
			env.regionsAfter = rest
			env.mu.Unlock()
		case "no-table":
			env.setTable(nil)
		case "send":
			start := time.Now()
			out.WriteString(env.send(t, rest, ""))
			took = time.Since(start)
		case "disconnect":
			name, rest, _ := strings.Cut(rest, " ")
			out.WriteString(env.send(t, rest, name))
		}
	}
	env.awaitRequests()
	env.mu.Lock()
	defer env.mu.Unlock()
	fmt.Fprintf(&out, "attempts: %s\n", strings.Join(env.ends, " "))
	if len(env.moves) > 0 {
		fmt.Fprintf(&out, "moves: %s\n", strings.Join(env.moves, ", "))
	}
	if len(env.usage) > 0 {
		fmt.Fprintf(&out, "usage: %s\n", strings.Join(env.usage, " "))
	}
	for _, name := range []string{"a", "b"} {
		if u := env.upstreams[name]; u != nil {
			u.mu.Lock()
			for _, r := range u.received {
				fmt.Fprintf(&out, "%s got: %s\n", name, r)
			}
			u.mu.Unlock()
		}
	}
	return out.String()
}

// awaitRequests waits for the end of all requests and moves. A caller has its answer
// before its request ends.
func (env *testEnvironment) awaitRequests() {
	for env.gateway.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	env.gateway.moves.Wait()
}

// awaitAsked waits until n attempts were asked for.
func (env *testEnvironment) awaitAsked(n int) {
	for asked := 0; asked < n; time.Sleep(time.Millisecond) {
		env.mu.Lock()
		asked = len(env.builds)
		env.mu.Unlock()
	}
}

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// send sends a raw request and describes the response. If holding names an
// upstream, send closes the connection when that upstream has the request, and
// waits until the gateway closes its connection to the upstream.
func (env *testEnvironment) send(t *testing.T, raw, holding string) string {
	text, err := strconv.Unquote(`"` + raw + `"`)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	if holding != "" {
		u := env.upstreams[holding]
		for {
			u.mu.Lock()
			n := len(u.received)
			u.mu.Unlock()
			if n > 0 {
				break
			}
		}
		_ = c.Close()
		select {
		case <-u.callerGone:
			for n := 0; n == 0; {
				env.mu.Lock()
				n = len(env.ends)
				env.mu.Unlock()
			}
			return "the upstream saw the caller disconnect\n"
		case <-time.After(5 * time.Second):
			return "the upstream still holds the request\n"
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer\n"
	}
	body, err := io.ReadAll(resp.Body)
	whole := "whole"
	if err != nil {
		whole = "cut"
	}
	var headers []string
	for _, name := range []string{"Retry-After", "Answer-Seal", "Connection"} {
		if v := resp.Header.Get(name); v != "" {
			headers = append(headers, " "+strings.ToLower(name)+"="+v)
		}
	}
	return fmt.Sprintf("caller: %d %s%s %q\n", resp.StatusCode, whole, strings.Join(headers, ""), body)
}
