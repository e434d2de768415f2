package site

import (
	"tanagerspread/core/code"
)

// Shape is what a site consists of.
type Shape struct {
	// Domains are the failure domains, over which the VMs are spread in turn.
	Domains []string
	// Model is what the engines serve.
	Model   string
	Engines int
	// Services names what the plain service VMs serve, one name for each VM.
	Services []string
	Stores   int
}

// minScaledCount is the least number of engines and of stores of a scaled site:
// with one of them there is nothing to choose from.
const minScaledCount = 2

// shapes holds the current sites by name.
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
