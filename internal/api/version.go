package api

import "strconv"

// revisionBits is the number of bits of a version that hold its revision. They suffice
// for 29 years of 1,200 changes a second. With up to 8,191 eras a version stays below
// 2^53, so that readers which parse numbers as floating point lose no digits.
const revisionBits = 40

// EraBits is the number of bits of a version that hold its era. An era that does not fit
// would be ordered before earlier ones.
const EraBits = 63 - revisionBits

// MaxRevision is the largest revision that a version can hold.
const MaxRevision Revision = 1<<revisionBits - 1

// NewVersion combines an era and a revision of the platform to a version that orders
// changes across eras. A platform that is restored from a backup assigns the same
// revisions again, so revisions order changes within one era only.
func NewVersion(e Era, r Revision) Version {
	return Version(e)<<revisionBits | Version(r)
}

// Era returns the era of the platform's store to which the version belongs.
func (v Version) Era() Era {
	return Era(v >> revisionBits)
}

// Revision returns the number that the platform gave the change within its era.
func (v Version) Revision() Revision {
	return Revision(v) & MaxRevision
}

// String returns the revision, preceded by the era if the platform reports one.
func (v Version) String() string {
	r := strconv.Itoa(int(v.Revision()))
	if v.Era() == 0 {
		return r
	}
	return strconv.Itoa(int(v.Era())) + "." + r
}
