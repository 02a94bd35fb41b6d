package relay

// Forget drops the text that an answer keeps for a resume.
func Forget(a *Answer) { a.text.Reset() }
