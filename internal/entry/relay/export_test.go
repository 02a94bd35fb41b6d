package relay

// DropText drops the text that an answer keeps for resuming.
func DropText(a *Answer) { a.text.Reset() }
