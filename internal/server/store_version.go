package server

import "github.com/ansel1/merry/v2"

// eraStep is the distance between the versions of two eras of the store.
const eraStep = 1_000_000_000_000_000

// maxEra bounds the eras whose versions can be represented.
const maxEra = 18_000

// JoinVersion returns the version of a row that orders it among all rows of the store: first
// by the era, which rises when the store is restored from a copy and counts its own versions
// from there again, then by the store's version within the era. It returns ErrInvalid if
// either is out of range.
func JoinVersion(era, version uint64) (uint64, error) {
	if era > maxEra || version >= eraStep {
		return 0, merry.Prependf(ErrInvalid, "version %d of era %d of the store is out of range", version, era)
	}
	return era*eraStep + version, nil
}

// SplitVersion returns the era and the store's version within it of a version that
// JoinVersion has returned.
func SplitVersion(joined uint64) (era, version uint64) { return joined / eraStep, joined % eraStep }

// IsEarlierEra reports whether a joined version is of an earlier era than another one.
func IsEarlierEra(joined, other uint64) bool { return joined/eraStep < other/eraStep }
