package memory

import (
	"maps"

	"quetzalhook"
)

// Copy is the state of a store at one time.
type Copy struct {
	version quetzalhook.Version
	objects map[string]quetzalhook.Object
}

// Copy returns a copy of all objects.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{version: s.version, objects: maps.Clone(s.objects)}
}

// Return brings the store back from an older copy: all later changes are lost and their
// versions are given out again. Watches end, the history is gone, and the era rises if the
// store names eras.
func (s *Store) Return(c Copy) {
	s.EndWatches()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era > 0 {
		s.era++
	}
	s.version, s.objects = quetzalhook.NewVersion(s.era, c.version.Revision()), make(map[string]quetzalhook.Object, len(c.objects))
	for key, o := range c.objects {
		o.Version = quetzalhook.NewVersion(s.era, o.Version.Revision())
		s.objects[key] = o
	}
	s.history, s.historyStart, s.staleObjects = nil, s.version, nil
}

// Era returns the number of the copy that the store serves, or 0 if it does not name eras.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
