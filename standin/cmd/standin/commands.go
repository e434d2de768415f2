package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"tanagerspread/client/vmlist"
	"tanagerspread/client/weights"
	"tanagerspread/client/wire"
	"tanagerspread/standin/engine"
	"tanagerspread/standin/kv"
	"tanagerspread/standin/service"
	"tanagerspread/standin/site"
	"tanagerspread/standin/store"
	standinvmlist "tanagerspread/standin/vmlist"
	standinweights "tanagerspread/standin/weights"
)

type kvCommand struct {
	base
	ReadRate  float64       `long:"read-rate" description:"reads per second; 0 means no limit"`
	WriteRate float64       `long:"write-rate" description:"writes per second; 0 means no limit"`
	Delay     time.Duration `long:"delay" description:"delay of each call"`
	LoseEvery int           `long:"lose-every" description:"lose the response of every n-th write"`
}

// Execute serves the key-value service.
func (c *kvCommand) Execute([]string) error {
	s := kv.NewStore(kv.Options{ReadRate: c.ReadRate, WriteRate: c.WriteRate})
	s.SetDelay(c.Delay)
	s.LoseResponseEvery(c.LoseEvery)
	return c.serve(s.Handler())
}

type vmlistCommand struct {
	base
	File string        `long:"file" required:"true" description:"JSON file in the form of the list's response"`
	Lag  time.Duration `long:"lag" description:"how far the list is behind"`
}

// Execute serves the VM list.
func (c *vmlistCommand) Execute([]string) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read the VM list file: %w", err)
	}
	var reply vmlist.Reply
	if err := json.Unmarshal(data, &reply); err != nil {
		return fmt.Errorf("decode the VM list file: %w", err)
	}
	return c.serve(standinvmlist.New(c.Lag, reply.VMs...).Handler())
}

type weightsCommand struct {
	base
	LoadTime       time.Duration `long:"load-time" default:"1s" description:"least time of one load"`
	FullSpeedLoads int           `long:"full-speed-loads" default:"3" description:"loads that run at once without slowing each other down"`
}

// Execute serves the weight store.
func (c *weightsCommand) Execute([]string) error {
	options := standinweights.Options{LoadTime: c.LoadTime, FullSpeedLoads: c.FullSpeedLoads}
	return c.serve(standinweights.New(options).Handler())
}

type engineCommand struct {
	base
	Model          string        `long:"model" description:"model; empty serves every model"`
	Version        int           `long:"weights" default:"1" description:"weight version"`
	WeightStore    string        `long:"weight-store" description:"address of the weight store; empty loads in one second"`
	PrefillRate    float64       `long:"prefill-rate" default:"10000" description:"prompt tokens per second"`
	TokenInterval  time.Duration `long:"token-interval" default:"20ms" description:"decode step of a batch of one"`
	IntervalPerRun time.Duration `long:"interval-per-run" default:"1ms" description:"added to a decode step for each further run"`
	Slots          int           `long:"slots" default:"16" description:"runs in the batch"`
	CacheBlocks    int           `long:"cache-blocks" default:"64" description:"cache blocks in memory"`
	LoadLag        time.Duration `long:"load-lag" description:"how far load reports are behind"`
	EventDelay     time.Duration `long:"event-delay" default:"1s" description:"how late cache events are"`
	DropEvery      int           `long:"drop-every" description:"lose every n-th cache event"`
	IgnoreFencing  bool          `long:"ignore-fencing" description:"accept orders with an old fencing number"`
	CrashMarker    string        `long:"crash-marker" description:"crash on prompts that contain this text"`
	RestartAfter   time.Duration `long:"restart-after" default:"5s" description:"restart after a crash"`
}

// Execute serves a model engine.
func (c *engineCommand) Execute([]string) error {
	options := engine.Options{
		PrefillRate:    c.PrefillRate,
		TokenInterval:  c.TokenInterval,
		IntervalPerRun: c.IntervalPerRun,
		Slots:          c.Slots,
		CacheBlocks:    c.CacheBlocks,
		LoadLag:        c.LoadLag,
		EventDelay:     c.EventDelay,
		DropEvery:      c.DropEvery,
		IgnoreFencing:  c.IgnoreFencing,
		CrashMarker:    c.CrashMarker,
		RestartAfter:   c.RestartAfter,
	}
	options.Initial.Model = c.Model
	options.Initial.Weights = c.Version
	if c.WeightStore != "" {
		client := weights.NewClient(wire.Options{Address: c.WeightStore})
		defer client.Close()
		options.Loader = client
	}
	return c.serve(engine.New(c.ctx, options).Handler())
}

type storeCommand struct {
	base
	MemoryBytes int64   `long:"memory-bytes" default:"16777216" description:"size of the memory tier"`
	DiskBytes   int64   `long:"disk-bytes" default:"67108864" description:"size of the disk tier"`
	LinkRate    float64 `long:"link-rate" description:"bytes per second; 0 means no limit"`
	DiskRate    float64 `long:"disk-rate" description:"bytes per second; 0 means no limit"`
}

// Execute serves a store VM.
func (c *storeCommand) Execute([]string) error {
	options := store.Options{MemoryBytes: c.MemoryBytes, DiskBytes: c.DiskBytes, LinkRate: c.LinkRate, DiskRate: c.DiskRate}
	return c.serve(store.New(options).Handler())
}

type serviceCommand struct {
	base
	Name    string        `long:"name" default:"lodgement" description:"name in each response"`
	RunTime time.Duration `long:"run-time" default:"10ms" description:"how long a call runs"`
}

// Execute serves a plain service.
func (c *serviceCommand) Execute([]string) error {
	return c.serve(service.New(service.Options{Name: c.Name, RunTime: c.RunTime}).Handler())
}

type siteCommand struct {
	ctx   context.Context
	Site  string        `long:"site" default:"derwent" choice:"derwent" choice:"ulan" description:"site"`
	Scale int           `long:"scale-down" default:"1" description:"divide the numbers of engines and service VMs"`
	Lag   time.Duration `long:"list-lag" default:"2s" description:"how far the VM list is behind"`
	// Switches is the address of the fault switches; empty means that none are
	// served.
	Switches string `long:"switches" value-name:"IP:PORT" description:"loopback address of calls that change the running site"`
}

// siteAddresses is the output of the site command.
type siteAddresses struct {
	KV      string      `json:"kv"`
	VMList  string      `json:"vm_list"`
	Weights string      `json:"weights"`
	VMs     []vmlist.VM `json:"vms"`
	// Switches is the address of the fault switches; empty means that none are
	// served.
	Switches string `json:"switches,omitempty"`
}

// Execute serves all stand-ins of a site on free loopback ports and prints their
// addresses.
func (c *siteCommand) Execute([]string) error {
	shape, codeErr := site.ShapeOf(c.Site, c.Scale)
	if codeErr != nil {
		return codeErr
	}
	s, err := site.Start(c.ctx, site.Options{Shape: shape, ListLag: c.Lag})
	if err != nil {
		return fmt.Errorf("start the site: %w", err)
	}
	vms, codeErr := s.VMs.List(c.ctx)
	if codeErr != nil {
		return codeErr
	}
	switches, err := serveSwitches(c.ctx, c.Switches, s)
	if err != nil {
		return errors.Join(err, s.Close())
	}
	addresses := siteAddresses{KV: s.KVAddress, VMList: s.VMListAddress, Weights: s.WeightsAddress, VMs: vms, Switches: switches}
	if err := addresses.print(os.Stdout); err != nil {
		return errors.Join(err, s.Close())
	}
	<-c.ctx.Done()
	return s.Close()
}

func (a siteAddresses) print(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(a)
}
