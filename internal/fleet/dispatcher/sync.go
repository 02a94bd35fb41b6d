package dispatcher

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/traffic/schedule"
)

// addEvent adds an event to the next report to the leader of a group.
func (d *Dispatcher) addEvent(group int, e event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events[group] = append(d.events[group], e)
}

// report sends the pending events to the leaders of their groups. The next sync
// makes up for lost events.
func (d *Dispatcher) report(ctx context.Context) {
	d.mu.Lock()
	pending := make([]int, 0, len(d.events))
	for group := range d.events {
		pending = append(pending, group)
	}
	d.mu.Unlock()
	for _, group := range pending {
		leader, events := d.remoteLeader(group), d.takeEvents(group)
		if leader != "" && len(events) > 0 {
			if !d.settings.Shortage {
				d.call(ctx, leader, reportKind, reportRequest{Group: group, Events: events}, nil)
				continue
			}
			var answer reportAnswer
			if d.call(ctx, leader, reportKind, reportRequest{Group: group, Events: events, Relief: true}, &answer) {
				d.relieve(answer.Reliefs)
			}
		}
	}
}

// takeEvents removes and returns the pending events of a group.
func (d *Dispatcher) takeEvents(group int) []event {
	d.mu.Lock()
	defer d.mu.Unlock()
	events := d.events[group]
	delete(d.events, group)
	return events
}

func (d *Dispatcher) handleReport(_ context.Context, from quetzalhook.HostID, body []byte) ([]byte, error) {
	var req reportRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, &Error{Op: "report", Kind: ErrorProtocol, Err: err}
	}
	scheduler := d.groups.scheduler(req.Group)
	d.applyEvents(from, scheduler, req.Events)
	if !req.Relief {
		return nil, nil
	}
	return cbor.Marshal(reportAnswer{Reliefs: scheduler.takeReliefs(from)})
}

// applyEvents takes over the events that a host reports for a group.
func (d *Dispatcher) applyEvents(from quetzalhook.HostID, scheduler *groupScheduler, events []event) {
	for _, e := range events {
		d.settings.Notices.Learn(d.clock.Now(), from, e.Left)
		for _, c := range e.Cold {
			d.settings.Starts.Observe(d.clock.Now(), c.Upstream, c.Started, c.For)
		}
	}
	scheduler.applyEvents(from, events)
}

// call sends a message to a leader and decodes the answer into result unless it
// is nil. It reports success.
func (d *Dispatcher) call(ctx context.Context, leader quetzalhook.HostID, kind string, message, result any) bool {
	body, err := cbor.Marshal(message)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply []byte
		reply, err = d.peers.Call(ctx, leader, kind, body)
		if err == nil && result != nil {
			err = cbor.Unmarshal(reply, result)
		}
	}
	if err != nil && ctx.Err() == nil {
		d.log.WithField("leader", leader).WithField("kind", kind).WithError(err).Debug("call to the leader failed")
	}
	return err == nil
}

// sync sends the leader of each group the list of this host's running requests
// there. The leader of the home group gets a list even if it is empty.
func (d *Dispatcher) sync(ctx context.Context) {
	home, _ := d.groups.choose(d.settings.Host, d.settings.Position(), quetzalhook.Request{})
	running := map[int][]quetzalhook.RequestID{home: nil}
	d.mu.Lock()
	for id, t := range d.tickets {
		group := d.groups.groupOf(t.current)
		running[group] = append(running[group], id)
	}
	d.mu.Unlock()
	for group, ids := range running {
		d.syncGroup(ctx, group, ids)
	}
}

// syncGroup sends the list of running requests of a group to its leader, and then
// the details of those that the leader does not know.
func (d *Dispatcher) syncGroup(ctx context.Context, group int, running []quetzalhook.RequestID) {
	leader := d.remoteLeader(group)
	if leader == "" {
		return
	}
	limits := d.groups.scheduler(group).limits(recentLimits)
	message := syncRequest{Group: group, Running: running, Limits: limits, Left: d.settings.Notices.Left(d.clock.Now(), 0)}
	unknown, ok := d.exchange(ctx, leader, message)
	if !ok || len(unknown) == 0 {
		return
	}
	var adoptions []adoption
	d.mu.Lock()
	for _, id := range unknown {
		if t := d.tickets[id]; t != nil {
			adoptions = append(adoptions, adoption{Request: toWire(t.request), Upstream: t.current, Tokens: t.tokens})
		}
	}
	d.mu.Unlock()
	d.call(ctx, leader, adoptKind, adoptRequest{Group: group, Adoptions: adoptions}, nil)
}

// lastSync is the last sync with the leader of a group.
type lastSync struct {
	leader quetzalhook.HostID
	at     time.Time
}

// exchange sends a sync that also exchanges the speeds of upstreams and what customers
// got lately, and returns the requests that the leader does not know.
func (d *Dispatcher) exchange(ctx context.Context, leader quetzalhook.HostID, message syncRequest) (unknown []quetzalhook.RequestID, ok bool) {
	scheduler := d.groups.scheduler(message.Group)
	now := d.clock.Now()
	d.mu.Lock()
	last := d.synced[message.Group]
	d.mu.Unlock()
	// A leader counts what it places. It lacks what was placed before it led, or while
	// it was out of reach for so long that it has dropped the requests of this host.
	if last.leader != leader || now.Sub(last.at) > ownerTimeout {
		if d.settings.Shortage {
			message.Usage = scheduler.ownUsage()
		}
		message.Speeds = scheduler.knownSpeeds()
	}
	message.Shares, message.Full = d.settings.Shortage, true
	message.Calls = d.settings.Calls.TakeSpeeds()
	var answer syncAnswer
	if !d.call(ctx, leader, syncKind, message, &answer) {
		d.settings.Calls.ReturnSpeeds(message.Calls)
		return nil, false
	}
	d.mu.Lock()
	d.synced[message.Group] = lastSync{leader: leader, at: now}
	d.mu.Unlock()
	if d.settings.Shortage {
		scheduler.raiseUsage(answer.Usage)
	}
	scheduler.addSpeeds(answer.Speeds)
	d.settings.Calls.SetSpeeds(answer.Calls)
	return answer.Unknown, true
}

// recentLimits is how long ago an engine must have named a limit for a sync to report
// it: an older one may have ended since.
const recentLimits = 3 * syncInterval

// recentNotices is how long the answers of a leader name an engine that leaves.
const recentNotices = 3 * syncInterval

func (d *Dispatcher) handleSync(_ context.Context, from quetzalhook.HostID, body []byte) ([]byte, error) {
	var req syncRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, &Error{Op: "sync", Kind: ErrorProtocol, Err: err}
	}
	scheduler := d.groups.scheduler(req.Group)
	scheduler.addLimits(req.Limits)
	d.settings.Notices.Learn(d.clock.Now(), from, req.Left)
	unknown := scheduler.sync(from, req.Running)
	if !req.Shares && !req.Full {
		return cbor.Marshal(unknown)
	}
	scheduler.addSpeeds(req.Speeds)
	d.settings.Calls.AddSpeeds(req.Calls)
	answer := syncAnswer{Unknown: unknown, Speeds: scheduler.knownSpeeds(), Calls: d.settings.Calls.Speeds()}
	if !req.Shares {
		return cbor.Marshal(answer)
	}
	if len(req.Usage) > 0 {
		scheduler.takeUsage(from, req.Usage)
		d.log.WithField("host", from).WithField("tiers", len(req.Usage)).Info("usage of customers taken over from a host")
	}
	answer.Usage = scheduler.usage()
	return cbor.Marshal(answer)
}

func (d *Dispatcher) handleAdopt(_ context.Context, from quetzalhook.HostID, body []byte) ([]byte, error) {
	var req adoptRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, &Error{Op: "adopt", Kind: ErrorProtocol, Err: err}
	}
	scheduler := d.groups.scheduler(req.Group)
	for _, a := range req.Adoptions {
		scheduler.adopt(from, a.Request.request(), a.Upstream, a.Tokens)
	}
	return nil, nil
}

// Load returns the sum of the loads of all groups, as their leaders know them.
func (d *Dispatcher) Load(ctx context.Context) (schedule.Load, error) {
	var sum schedule.Load
	for group := range d.groups.count() {
		load, err := d.loadOf(ctx, group)
		if err != nil {
			return schedule.Load{}, err
		}
		sum.Add(load)
	}
	return sum, nil
}

// loadOf returns the load of one group, from its leader or, if this host
// schedules the group itself, from the local scheduler.
func (d *Dispatcher) loadOf(ctx context.Context, group int) (schedule.Load, error) {
	leader := d.remoteLeader(group)
	if leader == "" {
		return d.groups.scheduler(group).load(), nil
	}
	var load schedule.Load
	body, err := cbor.Marshal(loadRequest{Group: group})
	if err != nil {
		return load, &Error{Op: "load", Kind: ErrorProtocol, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := d.peers.Call(ctx, leader, loadKind, body)
	if err != nil {
		return load, &Error{Op: "load", Kind: ErrorUnreachable, Err: err}
	}
	if err := cbor.Unmarshal(reply, &load); err != nil {
		return load, &Error{Op: "load", Kind: ErrorProtocol, Err: err}
	}
	return load, nil
}

func (d *Dispatcher) handleLoad(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var req loadRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, &Error{Op: "load", Kind: ErrorProtocol, Err: err}
	}
	return cbor.Marshal(d.groups.scheduler(req.Group).load())
}
