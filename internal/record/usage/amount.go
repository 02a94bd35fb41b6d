package usage

import (
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

// Amount is the usage of one or more requests.
type Amount struct {
	_        struct{} `cbor:",toarray"`
	Prompt   int64    // prompt tokens
	Output   int64    // output tokens
	Wasted   int64    // tokens generated for requests that failed
	Requests int64
}

// Plus returns the sum.
func (a Amount) Plus(b Amount) Amount {
	return Amount{
		Prompt: a.Prompt + b.Prompt, Output: a.Output + b.Output,
		Wasted: a.Wasted + b.Wasted, Requests: a.Requests + b.Requests,
	}
}

// Minus returns the difference.
func (a Amount) Minus(b Amount) Amount {
	return a.Plus(Amount{Prompt: -b.Prompt, Output: -b.Output, Wasted: -b.Wasted, Requests: -b.Requests})
}

// Max returns the maximum of each number. The totals of one incarnation never
// decrease, so Max merges copies of them in any order and any number of times.
func (a Amount) Max(b Amount) Amount {
	return Amount{
		Prompt: max(a.Prompt, b.Prompt), Output: max(a.Output, b.Output),
		Wasted: max(a.Wasted, b.Wasted), Requests: max(a.Requests, b.Requests),
	}
}

// IsZero reports whether nothing was used.
func (a Amount) IsZero() bool { return a == Amount{} }

// Key identifies the customer and the class that usage is counted for.
type Key struct {
	_        struct{} `cbor:",toarray"`
	Customer quetzalhook.CustomerID
	Class    quetzalhook.ClassName
}

// Line is the total of one key.
type Line struct {
	_      struct{} `cbor:",toarray"`
	Key    Key
	Amount Amount
}

// Window identifies a billing window by its start in UTC.
type Window string

const windowFormat = "2006-01-02T15:04:05Z"

// Schedule divides calendar time into windows of equal length. Each host
// determines by its own calendar clock the window to which its usage belongs;
// the clocks of two hosts are never compared.
type Schedule struct{ length time.Duration }

// NewSchedule returns a schedule with windows of the given length, which should
// divide a day.
func NewSchedule(length time.Duration) Schedule { return Schedule{length} }

// Length returns the length of a window.
func (s Schedule) Length() time.Duration { return s.length }

// At returns the window that contains t.
func (s Schedule) At(t time.Time) Window {
	return Window(t.UTC().Truncate(s.length).Format(windowFormat))
}

// End returns when the window ends.
func (s Schedule) End(w Window) (time.Time, error) {
	start, err := time.Parse(windowFormat, string(w))
	if err != nil {
		return time.Time{}, errors.Wrapf(err, "parse billing window %q", w)
	}
	return start.Add(s.length), nil
}

// Next returns the window after w.
func (s Schedule) Next(w Window) (Window, error) {
	end, err := s.End(w)
	return s.At(end), err
}
