package site

import (
	"tanagerspread/core/code"
)

// Shape is the number and kind of the VMs of a site.
type Shape struct {
	// Domains are the failure domains. VMs are assigned to them round robin.
	Domains []string
	// Model is the model that all engines serve.
	Model string
	// Engines is the number of engine VMs.
	Engines int
	// Services holds the name of the plain service of each service VM.
	Services []string
	// Stores is the number of store VMs.
	Stores int
}

// minScaledCount is the minimum number of engines in a scaled site: with a single
// engine, placement has no choice. Every site has as many stores for the same
// reason.
const minScaledCount = 2

// shapes holds the shape of each site at full size, by site name.
var shapes = map[string]Shape{
	"derwent": {
		Domains:  []string{"hobart-a", "kingston-b", "sorell-c", "bruny-d"},
		Model:    "entry-text",
		Engines:  20,
		Services: []string{"lodgement", "lookup", "lodgement", "lookup"},
		Stores:   2,
	},
	"ulan": {
		Domains:  []string{"cebu-north", "cebu-south", "bohol", "negros-oriental"},
		Model:    "dispatch",
		Engines:  10,
		Services: []string{"ordering", "booking", "ordering", "booking"},
		Stores:   2,
	},
}

// ShapeOf returns the shape of a site with its numbers of engines and service
// VMs divided by scale; a scale below 2 means full size. It returns
// code.SettingInvalid for an unknown site.
func ShapeOf(name string, scale int) (Shape, *code.Error) {
	shape, ok := shapes[name]
	if !ok {
		return Shape{}, code.Newf(code.SettingInvalid, "no site %q; the sites are derwent and ulan", name)
	}
	if scale < minScaledCount {
		return shape, nil
	}
	shape.Engines = max(minScaledCount, shape.Engines/scale)
	kinds := len(shape.Services) / 2
	shape.Services = shape.Services[:max(kinds, len(shape.Services)/scale)]
	return shape, nil
}
