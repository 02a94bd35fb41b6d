package host

import (
	"quetzalhook/internal/entry/setting"
)

// Reload takes changed settings. The seeds take effect at once; all others
// hold from the next start on.
func (h *Host) Reload(settings setting.Host) {
	h.members.SetSeeds(settings.SeedHeartbeats())
	h.log.WithField("seeds", settings.Seeds).Info("settings read again")
}
