package routing

import "quetzalhook"

// knownEra is the newest era of which a host has heard.
type knownEra struct {
	newest int64
	// hasRisen reports whether the era has risen since this host first knew one.
	hasRisen bool
}

// observe records the era of a version.
func (k *knownEra) observe(v quetzalhook.Version) {
	if v.Era() > k.newest {
		k.hasRisen = k.hasRisen || k.newest > 0
		k.newest = v.Era()
	}
}

// versionOf returns the version that another host tells. Hosts of older builds do not tell an
// era: theirs counts as the newest, and as the earliest once eras have changed.
func (k *knownEra) versionOf(v quetzalhook.Version) quetzalhook.Version {
	if v > 0 && v.Era() == 0 && !k.hasRisen {
		return quetzalhook.NewVersion(k.newest, v.Revision())
	}
	return v
}
