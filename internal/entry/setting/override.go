package setting

import (
	"strconv"
	"strings"
)

// Override holds settings of a host that are given outside its file, as text. An empty
// one leaves that of the file.
type Override struct {
	EvacuateMS, ColdOver, ColdSlack, MaxFDs string
	// Contracts is separated by commas.
	Contracts string
}

// Apply returns the settings with the override, or an *Error that lists all mistakes.
func (o Override) Apply(h Host) (Host, error) {
	c := &checker{}
	number := func(name, text string, to *float64) {
		if text == "" {
			return
		}
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			c.add("%s %q is not a number", name, text)
			return
		}
		*to = n
	}
	fds := float64(h.MaxFDs)
	number("evacuate-ms", o.EvacuateMS, &h.EvacuateMS)
	number("cold-over", o.ColdOver, &h.ColdOver)
	number("cold-slack", o.ColdSlack, &h.ColdSlack)
	number("max-fds", o.MaxFDs, &fds)
	h.MaxFDs = int(fds)
	if o.Contracts != "" {
		h.Contracts = strings.Split(o.Contracts, ",")
	}
	if len(c.mistakes) > 0 {
		return h, &Error{Op: "override", Kind: "invalid", Mistakes: c.mistakes}
	}
	return h, h.Validate()
}
