// Package workload generates seeded arrivals that resemble the traffic of the
// current sites.
package workload

import (
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/request"
)

// Class configures the arrivals of one class.
type Class struct {
	Name request.Class
	// Priority is the priority of the class; 0 is the most urgent.
	Priority int
	// FirstTokenTarget is the longest time to first token of a response that
	// counts towards goodput.
	FirstTokenTarget time.Duration
	// Deadline is the deadline that callers set.
	Deadline time.Duration
	// Rate is the number of requests per second and engine at load 1.
	Rate float64
	// MaxTokens is the length of a response in tokens.
	MaxTokens int
	// MinBlocks and MaxBlocks limit the number of cache blocks of a document; 0
	// means prompts without a document.
	MinBlocks int
	MaxBlocks int
	// MinTailTokens and MaxTailTokens limit the number of prompt tokens after
	// the complete blocks.
	MinTailTokens int
	MaxTailTokens int
}

// Profile is the workload of one site.
type Profile struct {
	Site string
	// Short is the urgent class, Long the class that can wait.
	Short Class
	Long  Class
	// Documents is the number of different documents.
	Documents int
	// OrganisationShares are the relative shares of the organisations in the
	// arrivals, which need not add up to 1.
	OrganisationShares []float64
	// LinkPrice is the link price in the rules: the time that the transfer of a
	// mebibyte costs.
	LinkPrice time.Duration
	// ExportMinBlocks is the minimum number of blocks of an exported prompt.
	ExportMinBlocks int
}

// organisationShares has a few large ones among ten organisations.
var organisationShares = []float64{30, 20, 15, 10, 8, 5, 4, 3, 3, 2}

// ulanLinkPrice is the link price per mebibyte at Ulan. The transfer of a block
// of 32,000 bytes costs 100 ms, half of the time that an engine needs to compute
// the block.
const ulanLinkPrice = 3200 * time.Millisecond

var profiles = map[string]Profile{
	"derwent": {
		Site:               "derwent",
		Short:              short("check"),
		Long:               long("review"),
		Documents:          300,
		OrganisationShares: organisationShares,
	},
	"ulan": {
		Site:               "ulan",
		Short:              short("quote"),
		Long:               long("summary"),
		Documents:          300,
		OrganisationShares: organisationShares,
		LinkPrice:          ulanLinkPrice,
		ExportMinBlocks:    1,
	},
}

func short(name request.Class) Class {
	return Class{
		Name: name, FirstTokenTarget: 1500 * time.Millisecond, Deadline: 10 * time.Second,
		Rate: 2, MaxTokens: 4, MinTailTokens: 200, MaxTailTokens: 600,
	}
}

func long(name request.Class) Class {
	return Class{
		Name: name, Priority: 1, FirstTokenTarget: 30 * time.Second, Deadline: 2 * time.Minute,
		Rate: 0.8, MaxTokens: 16, MinBlocks: 2, MaxBlocks: 8, MinTailTokens: 100, MaxTailTokens: 400,
	}
}

// ProfileForSite returns the workload of a site. It returns code.SettingInvalid
// for an unknown site.
func ProfileForSite(site string) (Profile, *code.Error) {
	profile, known := profiles[site]
	if !known {
		return Profile{}, code.Newf(code.SettingInvalid, "no workload for site %q", site)
	}
	return profile, nil
}
