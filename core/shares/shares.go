// Package shares divides what servers can take between the organisations that have calls
// waiting at several nodes. Each node computes the division by itself from the demand
// that the nodes report.
package shares

import (
	"maps"
	"slices"

	"tanagerspread/core/request"
)

// Demand is the work that waits at one node: prompt tokens for each organisation.
type Demand map[request.Organisation]int

// TurnDemand is the work that waited at a node at the start of a turn. All nodes divide by
// the demand of the same turn, so that their divisions agree.
type TurnDemand struct {
	Turn   int64
	Demand Demand
}

// Total returns the work of all organisations.
func (d Demand) Total() int {
	total := 0
	for _, tokens := range d {
		total += tokens
	}
	return total
}

// Largest returns the demand of the given number of organisations, those with the most
// work.
func (d Demand) Largest(count int) Demand {
	if len(d) <= count {
		return d
	}
	names := slices.SortedFunc(maps.Keys(d), func(a, b request.Organisation) int {
		if d[a] != d[b] {
			return d[b] - d[a]
		}
		return compareNames(a, b)
	})
	largest := Demand{}
	for _, name := range names[:count] {
		largest[name] = d[name]
	}
	return largest
}

func compareNames(a, b request.Organisation) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Division is the part of one node. The parts of all nodes cover the interval from 0 to
// 1 without overlap.
type Division struct {
	// Offset is where the node's interval begins, Share its length.
	Offset float64
	Share  float64
	// Nodes is the number of nodes with waiting work.
	Nodes int
}

// Whole returns the division of a node that has no competitor.
func Whole() Division {
	return Division{Share: 1, Nodes: 1}
}

// Divide returns the part of a node. Each organisation gets the same part of the whole,
// which it spreads over the nodes as its waiting work. A node without demand has no part.
func Divide(node string, demands map[string]Demand) Division {
	totals := Demand{}
	for _, demand := range demands {
		for organisation, tokens := range demand {
			if tokens > 0 {
				totals[organisation] += tokens
			}
		}
	}
	rates := make(map[request.Organisation]float64, len(totals))
	for organisation, tokens := range totals {
		rates[organisation] = 1 / float64(tokens) / float64(len(totals))
	}
	division := Division{}
	for name, demand := range demands {
		share := shareOf(demand, rates)
		if share == 0 {
			continue
		}
		division.Nodes++
		switch {
		case name < node:
			division.Offset += share
		case name == node:
			division.Share = share
		}
	}
	return division
}

// shareOf returns the part of a node with a demand. rates has the part of the whole that
// each waiting token of an organisation stands for.
func shareOf(demand Demand, rates map[request.Organisation]float64) float64 {
	share := 0.0
	for organisation, tokens := range demand {
		if tokens > 0 {
			share += float64(tokens) * rates[organisation]
		}
	}
	return share
}

// minWeight is the smallest weight of an organisation at a node.
const minWeight = 0.02

// Weight returns the weight of an organisation in the queue of a node: the part of its
// work that waits there.
func Weight(own, elsewhere int) float64 {
	if own <= 0 || elsewhere <= 0 {
		return 1
	}
	return max(float64(own)/float64(own+elsewhere), minWeight)
}
