package host

import (
	"quetzalhook/internal/entry/setting"
)

// Reload applies changed settings. Only the seeds take effect at once; all other
// changes need a restart.
func (h *Host) Reload(settings setting.Host) {
	h.members.SetSeeds(settings.SeedHeartbeats())
	h.log.WithField("seeds", settings.Seeds).Info("settings reloaded")
}
