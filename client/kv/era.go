package kv

// Era counts how often the service has come back from an earlier copy, after which it
// assigns revisions again. It is 0 for a service that does not report it.
type Era uint64

// A Revision holds the era in its upper bits, so that each revision of a later era is
// higher than all of an earlier one. 40 bits last for 30 years of 1000 writes a second.
const revisionBits = 40

// MaxEra is the last era that a Revision can hold.
const MaxEra = 1<<(64-revisionBits) - 1

// RevisionIn returns the revision with a number in an era.
func RevisionIn(era Era, number uint64) Revision {
	return Revision(uint64(era)<<revisionBits | number)
}

// Era returns the era of the revision.
func (r Revision) Era() Era {
	return Era(r >> revisionBits)
}

// Number returns the revision without its era, as the service knows it.
func (r Revision) Number() uint64 {
	return uint64(r) & (1<<revisionBits - 1)
}

// EraSource is a service that reports its era.
type EraSource interface {
	// OnEra sets the function that is called at each rise of the era, before the
	// result of the call that showed it is returned. It must not block, and is set before
	// the first call of the service.
	OnEra(report func(Era))
}
