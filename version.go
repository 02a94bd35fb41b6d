package quetzalhook

import "strconv"

// Version is the number of a change in the store, or 0 for none. It consists of the number
// of the change in the store's sequence, the revision, and of the store's era. An era ends
// when the store comes back from an older copy, which gives revisions out again. Versions
// are ordered by their eras first, so that a change made after such a return is newer than
// those that were lost.
type Version int64

const (
	// revisionBits is the number of low bits of a Version that hold the revision.
	revisionBits = 44
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(63-revisionBits) - 1
)

// NewVersion returns the version of a revision in an era. The era is 0 if the store does not
// name eras, and otherwise one more than the number that it names, which may begin at 0. Numbers that no store gives out become the nearest one that fits.
func NewVersion(era, revision int64) Version {
	return Version(min(max(era, 0), maxEra)<<revisionBits | min(max(revision, 0), maxRevision))
}

// EraNumber returns the number that the store names for an era, or -1 for era 0.
func EraNumber(era int64) int64 { return era - 1 }

// Era returns the era of the store in which the change was made or, if it was made before the
// store came back from a copy, the one in which it was read; see NewVersion.
func (v Version) Era() int64 { return int64(v >> revisionBits) }

// Revision returns the number of the change in its era, as the store knows it.
func (v Version) Revision() int64 { return int64(v & maxRevision) }

// String returns REVISION, or REVISION@NUMBER with the number that the store names for its
// era.
func (v Version) String() string {
	text := strconv.FormatInt(v.Revision(), 10)
	if era := v.Era(); era > 0 {
		text += "@" + strconv.FormatInt(EraNumber(era), 10)
	}
	return text
}
