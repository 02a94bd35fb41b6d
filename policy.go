package quetzalhook

import "time"

// Request describes one request to a Policy.
type Request struct {
	ID       RequestID
	Customer CustomerID
	// Weight is the weight of the customer's share in a shortage; 0 counts as 1.
	Weight float64
	Class  Class
	Model  Model
	// PromptTokens is the estimated prompt length in tokens.
	PromptTokens int
	// MaxTokens is the caller's bound on the output in tokens; 0 means none.
	MaxTokens int
	// Prefixes holds hashes of growing prompt prefixes, shortest first.
	Prefixes []uint64
	// PrefixTokens is the number of tokens covered by each entry of Prefixes.
	PrefixTokens int
	// Region is where the caller is.
	Region Region
	// Regions are the regions in which the request may run.
	Regions Regions
	// Allowed, if not nil, returns the regions that the newest configuration allows among
	// those allowed when the request was accepted. It is not sent to other hosts.
	Allowed func() Regions
	// Build is the only build of the upstreams that may run the request; empty for any.
	Build Build
	// BuildNow, if not nil, returns the newest value of Build: the build of a stream is
	// known when its first event has arrived. It is not sent to other hosts.
	BuildNow func() Build
	// Repeatable reports whether the request may be sent more than once.
	Repeatable bool
	// Moving marks a request for a destination of a running stream. It is sent only
	// after the stream's cache was copied, and so not to a cold upstream, whose rate
	// counts requests by the time at which they are placed.
	Moving bool
	// Repeat marks a request that repeats an earlier one. Each of its attempts
	// counts against the retry budget.
	Repeat bool
	// Service is the service that runs the request; empty where Model selects
	// the upstreams.
	Service string
	// Parts lists the parts of the prompt in order.
	Parts []PromptPart
	// LengthHint is the caller's estimate of the output in tokens; 0 for none.
	LengthHint int
	// CallerTimeout is how long the caller waits for the answer, counted from the
	// submission; 0 means that it is not known.
	CallerTimeout time.Duration
	// Tried lists the upstreams that have failed or refused the request.
	Tried []UpstreamID
	// Barred lists the upstreams that the sending host may not use now.
	Barred []Bar
	// Attempts is the largest number of attempts in which an upstream may run
	// the request; 0 means no limit.
	Attempts int
}

// Scope returns the upstreams that may run the request, as of its last update.
func (r *Request) Scope() Scope { return Scope{Regions: r.Regions, Build: r.Build} }

// UpdateScope sets Regions and Build to their newest values.
func (r *Request) UpdateScope() {
	s := r.NewestScope()
	r.Regions, r.Build = s.Regions, s.Build
}

// NewestScope returns the upstreams that may run the request by the newest configuration
// and the events that have arrived.
func (r *Request) NewestScope() Scope {
	s := r.Scope()
	if r.Allowed != nil {
		s.Regions = r.Allowed()
	}
	if r.BuildNow != nil {
		s.Build = r.BuildNow()
	}
	return s
}

// Bar keeps a request from one start of an upstream, or an earlier one.
type Bar struct {
	_        struct{} `cbor:",toarray"`
	Upstream UpstreamID
	Started  int64
	// For is the time until the bar ends.
	For time.Duration
}

// ActionKind selects what the host does for an Action.
type ActionKind uint8

const (
	// ActionStart sends the request to Upstream, continuing after Offset tokens.
	ActionStart ActionKind = iota + 1
	// ActionCancel stops the request's stream. For CausePreempted and
	// CauseMoved the policy has queued the request again.
	ActionCancel
	// ActionRefuse ends the request with an error to the caller.
	ActionRefuse
)

// CancelCause tells why a stream is stopped.
type CancelCause string

const (
	// CausePreempted stops a request to free its slot for a more urgent one.
	CausePreempted CancelCause = "preempted"
	// CauseMoved stops a request so that it continues elsewhere, because its
	// upstream is leaving, gone or ejected.
	CauseMoved CancelCause = "moved"
	// CauseLate stops a request whose answer has no value any more.
	CauseLate CancelCause = "doomed"
)

// RefuseKind is the machine-readable reason of a refusal.
type RefuseKind string

const (
	// RefuseOverload reports an overload: the queue cannot serve the class in
	// time.
	RefuseOverload RefuseKind = "overload"
	// RefuseLimit reports that the customer is over a limit.
	RefuseLimit RefuseKind = "limit"
	// RefuseNoUpstream reports that no upstream serves the model.
	RefuseNoUpstream RefuseKind = "no-upstream"
	// RefuseLate reports that the target is out of reach for a class whose
	// late answers have no value.
	RefuseLate RefuseKind = "late"
	// RefusePause reports that every upstream wants no requests from the host for a
	// while, or at all.
	RefusePause RefuseKind = "pause"
	// RefuseUnreached reports that every upstream wants no requests from the host, or is not
	// reached by it. Another host may reach some. It is reported once for each request, which
	// then waits as for a pause.
	RefuseUnreached RefuseKind = "unreached"
	// RefuseRetryBudget reports that the retry budget is used up.
	RefuseRetryBudget RefuseKind = "retry-budget"
	// RefuseRegion reports that no upstream in the regions in which the request may
	// run can serve it.
	RefuseRegion RefuseKind = "region"
	// RefuseBuild reports that no upstream of the build that began the stream of the
	// request can serve it.
	RefuseBuild RefuseKind = "build"
	// RefuseEvacuated reports that all upstreams that could serve the request are in
	// evacuated zones.
	RefuseEvacuated RefuseKind = "evacuated"
	// RefuseShare reports that the customer is over its share in a shortage.
	RefuseShare RefuseKind = "share"
	// RefuseMemory reports that the request is larger than the memory of every engine.
	RefuseMemory RefuseKind = "memory"
	// RefuseQuarantine reports that parts of the prompt have crashed engines.
	RefuseQuarantine RefuseKind = "quarantine"
)

// Action is one decision of a Policy.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Upstream   UpstreamID
	Offset     int // tokens already received, for ActionStart
	Cause      CancelCause
	Refusal    RefuseKind
	Outcome    Outcome
	RetryAfter time.Duration
}

// End tells a Policy how a request's attempt on an upstream ended.
type End uint8

const (
	// EndFinished reports a complete answer.
	EndFinished End = iota + 1
	// EndNotSent reports that nothing of the request left the host.
	EndNotSent
	// EndBroken reports a failure after the send began.
	EndBroken
	// EndCallerGone reports that the caller no longer waits for the answer.
	EndCallerGone
	// EndCancelled confirms an ActionCancel for CausePreempted or CauseMoved:
	// the stream is closed and no more tokens of it count.
	EndCancelled
)

// Demand describes the load of one host; hosts exchange it by gossip.
type Demand struct {
	// Waiting and Running count predicted work in tokens, by tier.
	Waiting [TierCount]float64
	Running [TierCount]float64
	// Requests counts waiting and running requests, by tier.
	Requests [TierCount]int
	// InFlight counts this host's requests on each upstream.
	InFlight map[UpstreamID]int
	// Used is the work of each customer in tokens since the host started.
	Used map[CustomerID]float64
}

// PeerDemand is the Demand of another host, received Age ago.
type PeerDemand struct {
	Host   HostID
	Age    time.Duration
	Demand Demand
}

// CustomerLimit limits what a customer uses on all hosts together.
type CustomerLimit struct {
	// Weight is the customer's share of a class relative to the other customers.
	Weight float64
	// WorkRate is the sustained work in tokens/s; 0 means unlimited.
	WorkRate float64
	// WorkBurst is the work in tokens that may be used at once.
	WorkBurst float64
	// Concurrency is the number of requests running at once; 0 means unlimited.
	Concurrency int
}

// Policy decides which request runs where and when. Implementations do no
// I/O, start no goroutine and read no clock; callers serialise the calls and
// pass a time that never goes back.
//
// After EndFinished, EndCallerGone, ActionRefuse or a cancel for CauseLate
// the policy forgets the request. After EndNotSent and EndBroken the policy
// either starts the request again or refuses it.
type Policy interface {
	// SetUpstreams replaces the upstreams that the host may use.
	SetUpstreams(now time.Time, upstreams []Upstream) []Action
	// SetLimits replaces the limits of all customers.
	SetLimits(now time.Time, limits map[CustomerID]CustomerLimit) []Action
	// Submit adds a request.
	Submit(now time.Time, r Request) []Action
	// Progress reports that a running request received tokens, n in total.
	Progress(now time.Time, id RequestID, n int) []Action
	// End reports the end of a request's attempt.
	End(now time.Time, id RequestID, end End) []Action
	// ObserveLoad records a load report.
	ObserveLoad(now time.Time, l Load) []Action
	// ObservePeers records the latest demand of every other host.
	ObservePeers(now time.Time, peers []PeerDemand) []Action
	// Tick runs periodic work; hosts call it every 10 ms or less often.
	Tick(now time.Time) []Action
	// Demand returns this host's demand, to be sent to the other hosts.
	Demand(now time.Time) Demand
}
