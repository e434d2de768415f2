package soak

import (
	"fmt"
	"math/rand/v2"

	"tanagerspread/standin/deployed"
)

// returnInterval is the mean number of faults between two steps of storeReturns.
const returnInterval = 4

// storeReturns copies the store of a site and lets it revert to the copy, in turns. Its
// random numbers are its own, so that the other faults of a seed stay the same.
type storeReturns struct {
	site   *site
	random *rand.Rand
	copied *deployed.StoreCopy
}

func newStoreReturns(s *site, seed uint64) storeReturns {
	return storeReturns{site: s, random: rand.New(rand.NewPCG(seed, seed+2))}
}

// play copies the store, or lets it revert, after which the operator and the servers write
// again what was lost.
func (r *storeReturns) play() string {
	if r.copied == nil {
		c := r.site.store.Copy()
		r.copied = &c
		return "store is copied"
	}
	r.site.store.Revert(*r.copied)
	r.copied = nil
	r.site.configVersion -= configStep
	r.site.writeConfiguration(validKey)
	r.site.store.SetWeightVersion(r.site.weightsVersion)
	for _, s := range r.site.servers {
		r.site.writeServerEntry(s, "ready")
	}
	return fmt.Sprintf("store reverts, era %d", r.site.store.Era())
}
