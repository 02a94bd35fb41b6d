package billing

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"quetzalhook/internal/record/usage"
)

// frozenReport returns the frozen report of a window. It freezes the window if it
// can be closed, and returns nil if it cannot.
func (r *Reporter) frozenReport(ctx context.Context, first, w usage.Window) ([]byte, error) {
	end, err := r.schedule.End(w)
	if err != nil || r.calendar.Now().Sub(end) < r.grace {
		return nil, err
	}
	body, err := r.frozen(ctx, w)
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
	late, err := r.late(ctx, first, w)
	if err != nil {
		return nil, err
	}
	var lines []Line
	for _, l := range usage.Sorted(usage.Sum(totals)) {
		lines = append(lines, newLine(l, ""))
	}
	if err := r.freeze(ctx, w, append(lines, late...)); err != nil {
		return nil, err
	}
	// What counts is what the store holds: another reporter may have frozen
	// other figures first.
	return r.frozen(ctx, w)
}

// isClosed reports whether every source has marked the window final or is
// gone.
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
	missing := make(map[usage.Source]time.Time)
	var waiting []usage.Source
	for s, t := range totals {
		if t.Final {
			continue
		}
		if !present[s] {
			missing[s] = now
			if since, ok := r.missing[s]; ok {
				missing[s] = since
			}
		}
		if since, ok := missing[s]; !ok || now.Sub(since) < r.gone {
			waiting = append(waiting, s)
		}
	}
	r.missing = missing
	r.noteWaiting(waiting)
	return len(waiting) == 0, nil
}

// late returns what became known of earlier windows after they were frozen.
func (r *Reporter) late(ctx context.Context, first, w usage.Window) ([]Line, error) {
	earlier, err := r.earlier(first, w)
	if err != nil {
		return nil, err
	}
	billed, err := r.billed(ctx, earlier)
	if err != nil {
		return nil, err
	}
	var lines []Line
	for _, e := range earlier {
		totals, err := usage.Collect(ctx, r.store, e)
		if err != nil {
			return nil, err
		}
		for _, l := range usage.Sorted(usage.Sum(totals)) {
			// A total below what was billed comes from a stale read.
			l.Amount = l.Amount.Minus(billed[e][l.Key]).Max(usage.Amount{})
			if !l.Amount.IsZero() {
				lines = append(lines, newLine(l, e))
			}
		}
	}
	return lines, nil
}

// earlier returns the reported windows before w in which late usage is found,
// oldest first.
func (r *Reporter) earlier(first, w usage.Window) ([]usage.Window, error) {
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

// billed returns what the frozen reports contain of each window.
func (r *Reporter) billed(ctx context.Context, windows []usage.Window) (map[usage.Window]map[usage.Key]usage.Amount, error) {
	billed := make(map[usage.Window]map[usage.Key]usage.Amount)
	for _, w := range windows {
		body, err := r.frozen(ctx, w)
		if err != nil {
			return nil, err
		}
		if body == nil {
			// Without this report, late usage in it would be billed again.
			return nil, errors.Errorf("stale read: %s is reported but not frozen", w)
		}
		var report Report
		if err := json.Unmarshal(body, &report); err != nil {
			return nil, errors.Wrapf(err, "decode report of %s", w)
		}
		billed[w] = make(map[usage.Key]usage.Amount)
		for _, l := range report.Lines {
			of := l.For
			if of == "" {
				of = w
			}
			if billed[of] == nil {
				continue // beyond the lookback
			}
			k := usage.Key{Customer: l.Customer, Class: l.Class}
			a := usage.Amount{Prompt: l.Prompt, Output: l.Output, Wasted: l.Wasted, Requests: l.Requests}
			billed[of][k] = billed[of][k].Plus(a)
		}
	}
	return billed, nil
}

// cleanUp deletes the open usage of the window that has left the lookback.
// What fails stays in the store; it has no effect on later reports.
func (r *Reporter) cleanUp(ctx context.Context, w usage.Window) {
	end, err := r.schedule.End(w)
	if err != nil {
		return
	}
	old := r.schedule.At(end.Add(-time.Duration(r.lookback+2) * r.schedule.Length()))
	delete(r.bodies, old)
	delete(r.sent, old)
	list, err := r.store.List(ctx, usage.OpenPrefix+string(old)+"/")
	if err != nil {
		return
	}
	for _, o := range list.Objects {
		_ = r.store.Delete(ctx, o.Key, o.Version)
	}
}
