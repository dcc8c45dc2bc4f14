package api

import "strconv"

// revisionBits are the bits of a version that hold its revision: 29 years of 1,200 changes a
// second, and below 2^53 with the era for 8,191 eras, so that readers that take numbers for
// floating point lose nothing.
const revisionBits = 40

// EraBits are the bits that are left for its era: what does not fit would order as an
// earlier one.
const EraBits = 63 - revisionBits

// MaxRevision is the largest revision that a version holds.
const MaxRevision Revision = 1<<revisionBits - 1

// NewVersion places a revision of the platform in the order over all of its histories. A
// platform that comes back from a copy gives revisions out again, so that they order
// changes within one era only.
func NewVersion(e Era, r Revision) Version {
	return Version(e)<<revisionBits | Version(r)
}

// Era is the history of the platform that the version is of.
func (v Version) Era() Era {
	return Era(v >> revisionBits)
}

// Revision is the version's place within its era, as the platform numbers it.
func (v Version) Revision() Revision {
	return Revision(v) & MaxRevision
}

// String gives the era, where the platform tells one, and the revision.
func (v Version) String() string {
	r := strconv.Itoa(int(v.Revision()))
	if v.Era() == 0 {
		return r
	}
	return strconv.Itoa(int(v.Era())) + "." + r
}
