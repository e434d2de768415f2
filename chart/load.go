package chart

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed files/*.toml overlays/*/*.toml
var embedded embed.FS

const fileSuffix = ".toml"

// Embedded returns the chart files that are embedded in the binary.
func Embedded() fs.FS {
	files, err := fs.Sub(embedded, "files")
	if err != nil {
		panic(err)
	}
	return files
}

// Deployed returns the chart files of a node in the users' deployment. Some of
// them have other timeouts than those of Embedded.
func Deployed() fs.FS {
	files, err := fs.Sub(embedded, "overlays/deployed")
	if err != nil {
		panic(err)
	}
	return Overlay(files, Embedded())
}

// Overlay returns a file system with the files of over, and those of base that
// over does not have.
func Overlay(over, base fs.FS) fs.FS {
	return overlay{over: over, base: base}
}

type overlay struct {
	over fs.FS
	base fs.FS
}

// Open opens the file of over, or that of base when over does not have it.
func (o overlay) Open(name string) (fs.File, error) {
	file, err := o.over.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return o.base.Open(name)
	}
	return file, err
}

// Load reads and checks the chart with the given name. It returns an error when
// the file is missing, has unknown keys, contains a chart with another name, or
// does not pass Check.
func Load(files fs.FS, name string) (*Definition, error) {
	data, err := fs.ReadFile(files, name+fileSuffix)
	if err != nil {
		return nil, fmt.Errorf("read chart %s: %w", name, err)
	}
	def, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("chart %s: %w", name, err)
	}
	if def.Name != name {
		return nil, fmt.Errorf("chart %s: file names the chart %q", name, def.Name)
	}
	return def, nil
}

// Parse decodes and checks one chart. It returns an error for unknown keys and
// for all faults that Check finds.
func Parse(data []byte) (*Definition, error) {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	def := &Definition{}
	if err := decoder.Decode(def); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if err := Check(def); err != nil {
		return nil, err
	}
	return def, nil
}

// Names returns the names of the embedded charts, sorted.
func Names() []string {
	entries, err := fs.ReadDir(Embedded(), ".")
	if err != nil {
		panic(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(path.Base(entry.Name()), fileSuffix))
	}
	sort.Strings(names)
	return names
}
