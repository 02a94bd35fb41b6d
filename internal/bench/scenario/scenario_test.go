package scenario

import (
	"testing"
	"time"

	"quetzalhook/internal/entry/setting"
)

// Guards against a misspelt fault that is silently not injected.
func TestValidate(t *testing.T) {
	s := Settings{Duration: time.Minute, Policy: setting.PolicyOwn, Faults: []string{"host-stopp"}}
	if s.Validate() == nil {
		t.Error("got no error, want one that names the fault")
	}
}
