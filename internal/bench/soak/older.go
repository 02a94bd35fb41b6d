package soak

import (
	"fmt"
	"math"
)

// OlderHosts says which hosts run the program of an older build, in which of their starts.
type OlderHosts string

// Values of OlderHosts.
const (
	OlderNone  OlderHosts = ""
	OlderHalf  OlderHosts = "half"  // every second host, always
	OlderFirst OlderHosts = "first" // each host in its first start
)

// ParseOlderHosts checks the text of a value.
func ParseOlderHosts(text string) (OlderHosts, error) {
	switch o := OlderHosts(text); o {
	case OlderNone, OlderHalf, OlderFirst:
		return o, nil
	}
	return OlderNone, &Error{Op: "older hosts", Kind: ErrorSetup, Err: fmt.Errorf("%q is neither %s nor %s", text, OlderHalf, OlderFirst)}
}

// starts returns the number of starts in which host i runs the program of the older build.
func (o OlderHosts) starts(i int) int {
	switch {
	case o == OlderHalf && i%2 == 1:
		return math.MaxInt
	case o == OlderFirst:
		return 1
	}
	return 0
}
