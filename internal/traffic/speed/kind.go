// Package speed estimates how fast each upstream works and how many requests it takes
// well.
//
// An engine's times are those of a prior times a factor of its own, which is learnt from
// the times to first tokens and between reports of tokens, and from what the engine
// itself tells about its machine. An engine with few observations counts as the mean of
// its service, its kind. A plain service has a line and factors for the time of its
// calls. For each upstream the throughput is compared between different numbers of
// requests, which shows where it collapses.
//
// Every observation takes constant time and allocates nothing. The package does no I/O,
// starts no goroutine and reads no clock; callers serialise the calls and pass a time
// that never decreases.
package speed

// The prior of every kind of engine: a large model on two accelerators.
const (
	// PriorPrefillRate is the number of prompt tokens processed in 1 ms, without
	// attention.
	PriorPrefillRate = 34.0
	// attentionMsPerMillionPairs is the attention time for a million pairs of a
	// processed token and a token before it.
	attentionMsPerMillionPairs = 0.25
	// PriorStepMs is the time of one batch step, and PriorRequestStepMs what each
	// running request adds to it.
	PriorStepMs        = 4.7
	PriorRequestStepMs = 0.155
	// firstEventMs is the time from the end of the prefill to the first event.
	firstEventMs = 20.0
)

// reportNoiseMs is the error of an observed time: events reach the leader in batches of
// 60 ms, over links with delays of their own.
const reportNoiseMs = 60.0

// PrefillWork returns the work to process the last tokens of a prompt, given their
// number and the length of the prompt: the time in ms that it takes by the prior.
func PrefillWork(tokens, prompt int) float64 {
	pairs := float64(tokens) * (float64(prompt) - float64(tokens)/2)
	return float64(tokens)/PriorPrefillRate + pairs/1e6*attentionMsPerMillionPairs
}

// priorStep returns the time of a batch step in ms by the prior.
func priorStep(requests float64) float64 { return PriorStepMs + PriorRequestStepMs*requests }

// priorOverhead returns the time in ms from the end of a prefill to the first event, by
// the prior.
func priorOverhead(requests float64) float64 { return firstEventMs + priorStep(requests) }

// Kind is the estimate for the engines of one service: the mean of their factors. Their
// common share of prefills and steps stays that of the prior. Lines that were fitted to
// both predicted steps of up to nine times their length where prompts that the leader
// did not know ran beside.
type Kind struct{ mean mean }

// NewKind returns the prior.
func NewKind() *Kind { return &Kind{} }

// Scale returns how much longer work takes on an average engine than by the prior.
func (k *Kind) Scale() float64 { return k.mean.ratio() }

// KindReport is the estimate of a kind as hosts tell it to each other.
type KindReport struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Scale   float32
	Weight  float32
}

// Report returns the estimate for other hosts, or false if there is none yet.
func (k *Kind) Report(service string) (KindReport, bool) {
	return KindReport{Service: service, Scale: float32(k.Scale()), Weight: float32(k.mean.expected)}, k.mean.expected >= minReportMs
}

// Learn takes over another host's estimate if it rests on more observations than the
// own one.
func (k *Kind) Learn(r KindReport) {
	if weight := min(float64(r.Weight), maxLearntMs); isSound(r.Scale, r.Weight) && weight > k.mean.expected {
		scale := min(max(float64(r.Scale), 1/maxRatio), maxRatio)
		k.mean = mean{observed: scale * weight, expected: weight}
	}
}

// isSound reports whether all numbers are positive and of a size that a report may
// have.
func isSound(numbers ...float32) bool {
	for _, n := range numbers {
		if !(n > 0 && n < 1e6) {
			return false
		}
	}
	return true
}
