package billing

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"quetzalhook/internal/record/usage"
)

// frozenReport returns the frozen report of window w, after freezing w if it is
// closed but not yet frozen. It returns nil if w is not closed yet or its grace
// period has not passed. First is the window with which reporting began.
func (r *Reporter) frozenReport(ctx context.Context, first, w usage.Window) ([]byte, error) {
	end, err := r.schedule.End(w)
	if err != nil || r.calendar.Now().Sub(end) < r.grace {
		return nil, err
	}
	body, err := r.cachedReport(ctx, w)
	if err != nil || body != nil {
		return body, err
	}
	totals, err := usage.Collect(ctx, r.store, w)
	if err != nil {
		return nil, err
	}
	if closed, err := r.isClosed(ctx, totals); err != nil || !closed {
		return nil, err
	}
	lateUsage, err := r.lateUsage(ctx, first, w)
	if err != nil {
		return nil, err
	}
	var lines []Line
	for _, l := range usage.Sorted(usage.Sum(totals)) {
		lines = append(lines, newLine(l, ""))
	}
	if err := r.freeze(ctx, w, append(lines, lateUsage...)); err != nil {
		return nil, err
	}
	// The report is read back from the store, because another reporter may have
	// frozen the window first, with other figures.
	return r.cachedReport(ctx, w)
}

// isClosed reports whether every source in totals has marked the window final or
// has been missing from the platform's list of hosts for at least goneAfter.
func (r *Reporter) isClosed(ctx context.Context, totals map[usage.Source]*usage.Totals) (bool, error) {
	list, err := r.hosts.Hosts(ctx)
	if err != nil {
		return false, errors.Wrap(err, "list hosts")
	}
	now := r.clock.Now()
	present := make(map[usage.Source]bool)
	for _, h := range list {
		present[usage.Source{Host: h.Host, Incarnation: h.Incarnation}] = true
	}
	missingSince := make(map[usage.Source]time.Time)
	var waiting []usage.Source
	for s, t := range totals {
		if t.Final {
			continue
		}
		if !present[s] {
			missingSince[s] = now
			if since, ok := r.missingSince[s]; ok {
				missingSince[s] = since
			}
		}
		if since, ok := missingSince[s]; !ok || now.Sub(since) < r.goneAfter {
			waiting = append(waiting, s)
		}
	}
	r.missingSince = missingSince
	r.setWaiting(waiting)
	return len(waiting) == 0, nil
}

// lateUsage returns lines for the usage of earlier windows that became known after
// they were frozen and that no report contains yet.
func (r *Reporter) lateUsage(ctx context.Context, first, w usage.Window) ([]Line, error) {
	earlierWindows, err := r.earlierWindows(first, w)
	if err != nil {
		return nil, err
	}
	billedAmounts, err := r.billedAmounts(ctx, earlierWindows)
	if err != nil {
		return nil, err
	}
	var lines []Line
	for _, e := range earlierWindows {
		totals, err := usage.Collect(ctx, r.store, e)
		if err != nil {
			return nil, err
		}
		for _, l := range usage.Sorted(usage.Sum(totals)) {
			// A total that is lower than what was billed comes from a stale read.
			l.Amount = l.Amount.Minus(billedAmounts[e][l.Key]).Max(usage.Amount{})
			if !l.Amount.IsZero() {
				lines = append(lines, newLine(l, e))
			}
		}
	}
	return lines, nil
}

// earlierWindows returns the reported windows before w that are searched for late
// usage, oldest first.
func (r *Reporter) earlierWindows(first, w usage.Window) ([]usage.Window, error) {
	end, err := r.schedule.End(w)
	if err != nil {
		return nil, err
	}
	var list []usage.Window
	for n := r.lookback; n > 0; n-- {
		if e := r.schedule.At(end.Add(-time.Duration(n+1) * r.schedule.Length())); e >= first {
			list = append(list, e)
		}
	}
	return list, nil
}

// billedAmounts returns, for each of the windows, the amounts that their frozen
// reports contain for it, including those reported as late usage.
func (r *Reporter) billedAmounts(ctx context.Context, windows []usage.Window) (map[usage.Window]map[usage.Key]usage.Amount, error) {
	billedAmounts := make(map[usage.Window]map[usage.Key]usage.Amount)
	for _, w := range windows {
		body, err := r.cachedReport(ctx, w)
		if err != nil {
			return nil, err
		}
		if body == nil {
			// Without this report, the late usage that it contains would be billed
			// again.
			return nil, errors.Errorf("stale read: %s is reported but its frozen report was not found", w)
		}
		var report Report
		if err := json.Unmarshal(body, &report); err != nil {
			return nil, errors.Wrapf(err, "decode report of %s", w)
		}
		billedAmounts[w] = make(map[usage.Key]usage.Amount)
		for _, l := range report.Lines {
			usedIn := l.For
			if usedIn == "" {
				usedIn = w
			}
			if billedAmounts[usedIn] == nil {
				continue // older than the windows that are searched
			}
			k := usage.Key{Customer: l.Customer, Class: l.Class}
			a := usage.Amount{Prompt: l.Prompt, Output: l.Output, Wasted: l.Wasted, Requests: l.Requests}
			billedAmounts[usedIn][k] = billedAmounts[usedIn][k].Plus(a)
		}
	}
	return billedAmounts, nil
}

// deleteOldUsage deletes the usage objects of the window that, after w has been
// reported, is no longer searched for late usage. Objects that cannot be deleted
// stay in the store, where they have no effect on later reports.
func (r *Reporter) deleteOldUsage(ctx context.Context, w usage.Window) {
	end, err := r.schedule.End(w)
	if err != nil {
		return
	}
	old := r.schedule.At(end.Add(-time.Duration(r.lookback+2) * r.schedule.Length()))
	delete(r.bodies, old)
	delete(r.sentHashes, old)
	list, err := r.store.List(ctx, usage.OpenPrefix+string(old)+"/")
	if err != nil {
		return
	}
	for _, o := range list.Objects {
		_ = r.store.Delete(ctx, o.Key, o.Version)
	}
}
