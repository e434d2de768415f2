package workload

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"tanagerspread/core/cachekey"
)

// Options configures the arrivals of one run.
type Options struct {
	Profile Profile
	Seed    uint64
	// Engines is the number of engines, to which the rates are proportional.
	Engines int
	// Load is the share of the profile's rates, where 1 is the full rate.
	Load float64
	// FloodFactor is the rate of additional long prompts of the largest
	// organisation between FloodFrom and FloodTo, as a multiple of the rate of
	// the long class; 0 means no flood.
	FloodFactor float64
	FloodFrom   time.Duration
	FloodTo     time.Duration
}

// Arrival is one request of a caller.
type Arrival struct {
	// At is the arrival time since the start of the run.
	At           time.Duration
	Organisation int
	Class        *Class
	// Document is the index of the document in the prompt, or -1 for a prompt
	// that is sent only once.
	Document int
	// Returning is true when an earlier prompt contained the document.
	Returning bool
	// Flooding is true for a request that belongs to a flood.
	Flooding   bool
	number     int
	blocks     int
	tailTokens int
}

// document is a text that several prompts of one organisation contain.
type document struct {
	organisation int
	blocks       int
	sent         bool
}

// Generator generates arrivals in order of their times.
type Generator struct {
	options   Options
	random    *rand.Rand
	documents []document
	now       time.Duration
	number    int
}

// NewGenerator returns a generator. Equal options result in equal arrivals.
func NewGenerator(options Options) *Generator {
	g := &Generator{options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
	long := options.Profile.Long
	for range options.Profile.Documents {
		g.documents = append(g.documents, document{organisation: g.randomOrganisation(), blocks: g.randomBetween(long.MinBlocks, long.MaxBlocks)})
	}
	return g
}

// Next returns the next arrival. The times between arrivals are exponentially
// distributed.
func (g *Generator) Next() Arrival {
	profile := &g.options.Profile
	scale := float64(g.options.Engines) * g.options.Load
	short, long, flood := profile.Short.Rate*scale, profile.Long.Rate*scale, g.floodRate(scale)
	total := short + long + flood
	g.now += time.Duration(g.random.ExpFloat64() / total * float64(time.Second))
	g.number++
	a := Arrival{At: g.now, Document: -1, number: g.number}
	switch sample := g.random.Float64() * total; {
	case sample < short:
		a.Class = &profile.Short
		a.Organisation = g.randomOrganisation()
	case sample < short+long:
		a.Class = &profile.Long
		g.selectDocument(&a)
	default:
		a.Class = &profile.Long
		a.Flooding = true
		a.blocks = g.randomBetween(profile.Long.MinBlocks, profile.Long.MaxBlocks)
	}
	a.tailTokens = g.randomBetween(a.Class.MinTailTokens, a.Class.MaxTailTokens)
	return a
}

// floodRate returns the current rate of flood requests per second, which is 0
// outside the flood. Each has a new prompt of the largest organisation.
func (g *Generator) floodRate(scale float64) float64 {
	if g.now < g.options.FloodFrom || g.now >= g.options.FloodTo {
		return 0
	}
	return g.options.FloodFactor * g.options.Profile.Long.Rate * scale
}

func (g *Generator) selectDocument(a *Arrival) {
	a.Document = g.random.IntN(len(g.documents))
	d := &g.documents[a.Document]
	a.Organisation = d.organisation
	a.blocks = d.blocks
	a.Returning = d.sent
	d.sent = true
}

func (g *Generator) randomOrganisation() int {
	sum := 0.0
	for _, share := range g.options.Profile.OrganisationShares {
		sum += share
	}
	sample := g.random.Float64() * sum
	for i, share := range g.options.Profile.OrganisationShares {
		if sample < share {
			return i
		}
		sample -= share
	}
	return 0
}

func (g *Generator) randomBetween(minimum, maximum int) int {
	return minimum + g.random.IntN(maximum-minimum+1)
}

// Prompt returns the text of the prompt: one block that all prompts of the
// organisation and class share, the blocks of the document, and a tail that is
// different in each prompt.
func (a Arrival) Prompt() string {
	var b strings.Builder
	organisation := "organisation " + strconv.Itoa(a.Organisation)
	writeRepeated(&b, organisation+" "+string(a.Class.Name)+" rules; ", cachekey.BlockBytes)
	name := "arrival " + strconv.Itoa(a.number)
	if a.Document >= 0 {
		name = "document " + strconv.Itoa(a.Document)
	}
	for i := range a.blocks {
		writeRepeated(&b, organisation+" "+name+" part "+strconv.Itoa(i)+"; ", cachekey.BlockBytes)
	}
	writeRepeated(&b, "question "+strconv.Itoa(a.number)+"; ", a.tailTokens*cachekey.BytesPerToken)
	return b.String()
}

func writeRepeated(b *strings.Builder, text string, length int) {
	repeated := strings.Repeat(text, length/len(text)+1)
	b.WriteString(repeated[:length])
}
