package dispatcher

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/notice"
	"quetzalhook/internal/traffic/schedule"
	"quetzalhook/internal/traffic/speed"
	"quetzalhook/internal/traffic/throttle"
)

// Kinds of calls between hosts.
const (
	assignKind = "dispatch-assign"
	reportKind = "dispatch-report"
	syncKind   = "dispatch-sync"
	adoptKind  = "dispatch-adopt"
	loadKind   = "dispatch-load"
)

// wireRequest is the encoding of a quetzalhook.Request in calls between hosts.
type wireRequest struct {
	ID            quetzalhook.RequestID    `cbor:"1,keyasint"`
	Customer      quetzalhook.CustomerID   `cbor:"2,keyasint,omitempty"`
	Class         quetzalhook.ClassName    `cbor:"3,keyasint"`
	Tier          quetzalhook.Tier         `cbor:"4,keyasint,omitempty"`
	Target        time.Duration            `cbor:"5,keyasint,omitempty"`
	GapTarget     time.Duration            `cbor:"6,keyasint,omitempty"`
	Model         quetzalhook.Model        `cbor:"7,keyasint,omitempty"`
	Service       string                   `cbor:"8,keyasint,omitempty"`
	PromptTokens  int                      `cbor:"9,keyasint,omitempty"`
	MaxTokens     int                      `cbor:"10,keyasint,omitempty"`
	LengthHint    int                      `cbor:"11,keyasint,omitempty"`
	Hashes        []uint64                 `cbor:"12,keyasint,omitempty"`
	Tokens        []int                    `cbor:"13,keyasint,omitempty"` // token counts of the parts in Hashes
	Region        quetzalhook.Region       `cbor:"14,keyasint,omitempty"`
	CallerTimeout time.Duration            `cbor:"15,keyasint,omitempty"`
	Tried         []quetzalhook.UpstreamID `cbor:"16,keyasint,omitempty"`
	Repeatable    bool                     `cbor:"17,keyasint,omitempty"`
	Barred        []quetzalhook.Bar        `cbor:"18,keyasint,omitempty"`
	Regions       quetzalhook.Regions      `cbor:"19,keyasint"`
	Weight        float64                  `cbor:"20,keyasint,omitempty"`
	Moving        bool                     `cbor:"21,keyasint,omitempty"`
	Build         quetzalhook.Build        `cbor:"22,keyasint,omitempty"`
}

// toWire returns the encoding of a request.
func toWire(r quetzalhook.Request) wireRequest {
	w := wireRequest{
		ID: r.ID, Customer: r.Customer, Class: r.Class.Name(), Tier: r.Class.Tier(), Target: r.Class.TTFTTarget(),
		GapTarget: r.Class.GapTarget(), Model: r.Model, Service: r.Service, PromptTokens: r.PromptTokens,
		MaxTokens: r.MaxTokens, LengthHint: r.LengthHint, Region: r.Region, CallerTimeout: r.CallerTimeout, Tried: r.Tried,
		Repeatable: r.Repeatable, Barred: r.Barred, Regions: r.Regions, Weight: r.Weight, Moving: r.Moving, Build: r.Build,
	}
	for _, p := range r.Parts {
		w.Hashes, w.Tokens = append(w.Hashes, p.Hash), append(w.Tokens, p.Tokens)
	}
	return w
}

// request decodes the request.
func (w wireRequest) request() quetzalhook.Request {
	r := quetzalhook.Request{
		ID: w.ID, Customer: w.Customer, Model: w.Model, Service: w.Service, PromptTokens: w.PromptTokens,
		Class:     quetzalhook.NewClass(w.Class, w.Tier, quetzalhook.WithTTFTTarget(w.Target), quetzalhook.WithGapTarget(w.GapTarget)),
		MaxTokens: w.MaxTokens, LengthHint: w.LengthHint, Region: w.Region, CallerTimeout: w.CallerTimeout, Tried: w.Tried,
		Repeatable: w.Repeatable, Barred: w.Barred, Regions: w.Regions, Weight: w.Weight, Moving: w.Moving, Build: w.Build,
	}
	for i := range min(len(w.Hashes), len(w.Tokens)) {
		r.Parts = append(r.Parts, quetzalhook.PromptPart{Hash: w.Hashes[i], Tokens: w.Tokens[i]})
	}
	return r
}

// assignRequest asks the leader of a group for the decision on a request, and
// carries the pending events of other requests.
type assignRequest struct {
	Request wireRequest `cbor:"1,keyasint"`
	Events  []event     `cbor:"2,keyasint,omitempty"`
	Group   int         `cbor:"3,keyasint,omitempty"`
	// Offer asks for an engine that can take the request at once; the request is
	// not queued.
	Offer bool `cbor:"4,keyasint,omitempty"`
	// Queued tells that an earlier call has queued the request, so that the leader
	// holds this call open for longer.
	Queued bool `cbor:"5,keyasint,omitempty"`
	// Redirect tells that the host understands assignAnswer.Leader.
	Redirect bool `cbor:"6,keyasint,omitempty"`
}

// reportRequest sends the leader of a group the events of requests.
type reportRequest struct {
	Group  int     `cbor:"1,keyasint,omitempty"`
	Events []event `cbor:"2,keyasint,omitempty"`
	// Relief asks for a reportAnswer; without it, the answer is empty.
	Relief bool `cbor:"3,keyasint,omitempty"`
}

// reportAnswer is the answer to a report of a host where memory is bounded.
type reportAnswer struct {
	// Reliefs lists the requests of the host to take away from their engines.
	Reliefs []schedule.Relief `cbor:"1,keyasint,omitempty"`
}

// syncRequest lists all requests of the sending host that run in a group.
type syncRequest struct {
	Group   int                     `cbor:"1,keyasint,omitempty"`
	Running []quetzalhook.RequestID `cbor:"2,keyasint,omitempty"`
	// Limits holds the limits that engines have recently named to the host, so that a
	// new leader knows them.
	Limits map[quetzalhook.UpstreamID]throttle.Named `cbor:"3,keyasint,omitempty"`
	// Left lists the engines that leave, as the host knows.
	Left []notice.Left `cbor:"4,keyasint,omitempty"`
	// Shares asks for a syncAnswer; without it, the answer is the list of unknown
	// requests.
	Shares bool `cbor:"5,keyasint,omitempty"`
	// Usage is what the customers of the host got lately. It is sent to a leader that
	// the host has not synced with before.
	Usage []schedule.TierUsage `cbor:"6,keyasint,omitempty"`
	// Full asks for a syncAnswer also if customers have no shares. It is apart from Shares
	// since that also asks for the usage of customers.
	Full bool `cbor:"7,keyasint,omitempty"`
	// Speeds is what the host knows of the speed of engines. It is sent to a leader that
	// the host has not synced with before.
	Speeds schedule.Speeds `cbor:"8,keyasint"`
	// Calls is what the host has observed of plain services since its last sync.
	Calls []speed.Report `cbor:"9,keyasint,omitempty"`
}

// syncAnswer is the answer to a sync of a host whose customers have shares.
type syncAnswer struct {
	// Unknown lists the running requests that the leader does not know.
	Unknown []quetzalhook.RequestID `cbor:"1,keyasint,omitempty"`
	// Usage is what customers got lately from all hosts, while requests wait.
	Usage []schedule.TierUsage `cbor:"2,keyasint,omitempty"`
	// Speeds is what the leader knows of the speed of engines, and Calls of that of the
	// upstreams of plain services, as far as they differ from the others.
	Speeds schedule.Speeds `cbor:"3,keyasint"`
	Calls  []speed.Report  `cbor:"4,keyasint,omitempty"`
}

// adoptRequest sends the leader of a group the running requests that it does not
// know.
type adoptRequest struct {
	Group     int        `cbor:"1,keyasint,omitempty"`
	Adoptions []adoption `cbor:"2,keyasint,omitempty"`
}

// loadRequest asks for the load of a group.
type loadRequest struct {
	Group int `cbor:"1,keyasint,omitempty"`
}

// assignAnswer is the decision on a request, or empty if the request is still
// queued.
type assignAnswer struct {
	Upstream   *quetzalhook.Upstream  `cbor:"1,keyasint,omitempty"`
	Urgency    int                    `cbor:"2,keyasint,omitempty"`
	Refusal    quetzalhook.RefuseKind `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration          `cbor:"4,keyasint,omitempty"`
	Source     string                 `cbor:"5,keyasint,omitempty"`
	// Busy declines an offer, because no engine can take the request at once.
	Busy bool `cbor:"6,keyasint,omitempty"`
	// SourceRegion, SourceID, SourceZone and SourceStarted describe the engine at Source.
	SourceRegion  quetzalhook.Region     `cbor:"8,keyasint,omitempty"`
	SourceID      quetzalhook.UpstreamID `cbor:"23,keyasint,omitempty"`
	SourceZone    quetzalhook.Zone       `cbor:"24,keyasint,omitempty"`
	SourceStarted int64                  `cbor:"25,keyasint,omitempty"`
	// Left lists the engines that have recently begun to leave.
	Left []notice.Left `cbor:"7,keyasint,omitempty"`
	// Cold reports that the request was counted against the rate of a cold engine. Age
	// is the time from the decision to this answer, and Held that from the call to it.
	Cold bool          `cbor:"20,keyasint,omitempty"`
	Age  time.Duration `cbor:"21,keyasint,omitempty"`
	Held time.Duration `cbor:"22,keyasint,omitempty"`
	// Leader is the host that leads the group, if the one that answers does not. The
	// request is not queued then.
	Leader quetzalhook.HostID `cbor:"26,keyasint,omitempty"`
}

// event reports the progress or the end of a request.
type event struct {
	ID     quetzalhook.RequestID `cbor:"1,keyasint"`
	Tokens int                   `cbor:"2,keyasint,omitempty"`
	// End is 0 while the request runs.
	End    quetzalhook.End `cbor:"3,keyasint,omitempty"`
	NotRun bool            `cbor:"4,keyasint,omitempty"`
	// EngineRequests is the number of running and waiting requests that the
	// engine has reported; 0 means that there is no new report.
	EngineRequests int `cbor:"5,keyasint,omitempty"`
	// Failed reports that the engine answered with an internal error.
	Failed bool `cbor:"6,keyasint,omitempty"`
	// Moved reports that another upstream answered at the engine's address.
	Moved bool `cbor:"7,keyasint,omitempty"`
	// RateLimit is the limit that the engine has named, in requests a second; 0 means
	// that there is none or, without EngineRequests, no new answer.
	RateLimit float64 `cbor:"8,keyasint,omitempty"`
	// Left lists engines that have told the host that they leave. The event concerns
	// no request.
	Left []notice.Left `cbor:"9,keyasint,omitempty"`
	// Lost reports that the engine could not be reached or broke the connection.
	Lost bool `cbor:"20,keyasint,omitempty"`
	// Relieved reports that the host has ended the attempt since the engine's memory was
	// short.
	Relieved bool `cbor:"23,keyasint,omitempty"`
	// Unsent reports that no byte of the request was sent, and NoPath that the host reaches
	// no engines.
	Unsent bool `cbor:"24,keyasint,omitempty"`
	NoPath bool `cbor:"25,keyasint,omitempty"`
	// Cold lists engines that the host knows to be cold. The event concerns no request.
	Cold []coldNotice `cbor:"21,keyasint,omitempty"`
	// WorkPercent is how long work takes on the engine's machine, as the engine has told
	// in percent of the usual time; 0 means that there is no new report.
	WorkPercent int `cbor:"22,keyasint,omitempty"`
}

// coldNotice is an engine that is cold, and for how long it remains so.
type coldNotice struct {
	_        struct{} `cbor:",toarray"`
	Upstream quetzalhook.UpstreamID
	Started  int64
	For      time.Duration
}

func (e event) end() quetzalhook.AttemptEnd {
	return quetzalhook.AttemptEnd{End: e.End, Tokens: e.Tokens, Lost: e.Lost, Unsent: e.Unsent, NoPath: e.NoPath, Relieved: e.Relieved, Verdict: quetzalhook.Verdict{NotRun: e.NotRun, Failed: e.Failed, Moved: e.Moved}}
}

// adoption is a running request that the leader does not know.
type adoption struct {
	Request  wireRequest            `cbor:"1,keyasint"`
	Upstream quetzalhook.UpstreamID `cbor:"2,keyasint"`
	Tokens   int                    `cbor:"3,keyasint,omitempty"`
}
