// Package site starts the stand-ins of a whole site in one process.
package site

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"tanagerspread/client/vmlist"
	"tanagerspread/client/weights"
	"tanagerspread/client/wire"
	"tanagerspread/standin/engine"
	"tanagerspread/standin/fault"
	"tanagerspread/standin/kv"
	"tanagerspread/standin/service"
	"tanagerspread/standin/store"
	standinvmlist "tanagerspread/standin/vmlist"
	standinweights "tanagerspread/standin/weights"
)

const (
	// firstWeights is the weight version of all engines at the start.
	firstWeights = 1
	// The weight store serves up to three concurrent loads in one second each;
	// more loads slow each other down.
	weightLoadTime       = time.Second
	weightFullSpeedLoads = 3
)

// defaultStore holds the options of a store VM when Options.Store is empty. Rates
// are in bytes per second.
var defaultStore = store.Options{
	MemoryBytes: 16 << 20,
	DiskBytes:   64 << 20,
	LinkRate:    20 << 20,
	DiskRate:    10 << 20,
}

// Options configures a site.
type Options struct {
	Shape Shape
	// Engine, Store and Service are the options of all VMs of each kind. Start
	// sets the fields that differ between VMs, and default sizes and rates when
	// Store is empty.
	Engine  engine.Options
	Store   store.Options
	Service service.Options
	KV      kv.Options
	// ListLag is the delay after which changes appear in the VM list.
	ListLag time.Duration
	// Listen opens the listener of a VM or of a platform service; nil means a free
	// TCP port on loopback.
	Listen func(id string) (net.Listener, error)
	// Dial opens the connections of the engines; nil means TCP.
	Dial wire.Dialer
}

// EngineVM is one running engine. Its Listener injects connection faults.
type EngineVM struct {
	vmlist.VM
	Engine   *engine.Engine
	Listener *fault.Listener
}

// StoreVM is one running store VM. Its Listener injects connection faults.
type StoreVM struct {
	vmlist.VM
	Store    *store.Store
	Listener *fault.Listener
}

// ServiceVM is one running plain service. Its Listener injects connection faults.
type ServiceVM struct {
	vmlist.VM
	Service  *service.Service
	Listener *fault.Listener
}

// Site is a running site. Faults are injected through the methods of its stand-ins.
type Site struct {
	KV             *kv.Store
	KVAddress      string
	VMs            *standinvmlist.List
	VMListAddress  string
	Weights        *standinweights.Store
	WeightsAddress string
	Engines        []EngineVM
	Stores         []StoreVM
	Services       []ServiceVM

	options Options
	cancel  context.CancelFunc
	// baseContext returns the context of all handlers, which ends when the site is
	// closed.
	baseContext func(net.Listener) context.Context
	servers     []*http.Server
	vmCount     int
}

// Start starts a site, which runs until Close is called. It returns the error of a
// listener that could not be opened.
func Start(ctx context.Context, options Options) (*Site, error) {
	ctx, cancel := context.WithCancel(ctx)
	if options.Listen == nil {
		options.Listen = listenLoopback
	}
	if options.Store == (store.Options{}) {
		options.Store = defaultStore
	}
	s := &Site{options: options, cancel: cancel, baseContext: func(net.Listener) context.Context { return ctx }}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func listenLoopback(string) (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// Close stops all stand-ins and closes their connections.
func (s *Site) Close() error {
	s.cancel()
	var errs []error
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

func (s *Site) start(ctx context.Context) error {
	s.KV = kv.NewStore(s.options.KV)
	s.VMs = standinvmlist.New(0)
	s.Weights = standinweights.New(standinweights.Options{LoadTime: weightLoadTime, FullSpeedLoads: weightFullSpeedLoads})
	steps := []func(context.Context) error{s.startPlatform, s.startEngines, s.startStores, s.startServices}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	s.VMs.SetLag(s.options.ListLag)
	return nil
}

func (s *Site) startPlatform(context.Context) error {
	var err error
	if s.KVAddress, _, err = s.serve("kv", s.KV.Handler()); err != nil {
		return err
	}
	if s.VMListAddress, _, err = s.serve("vmlist", s.VMs.Handler()); err != nil {
		return err
	}
	s.WeightsAddress, _, err = s.serve("weights", s.Weights.Handler())
	return err
}

func (s *Site) startEngines(ctx context.Context) error {
	for i := range s.options.Shape.Engines {
		vm := s.newVM("engine", i, s.options.Shape.Model)
		vm.Weights = firstWeights
		options := s.options.Engine
		options.Initial.Model = vm.Serves
		options.Initial.Weights = vm.Weights
		options.Dial = s.options.Dial
		client := weights.NewClient(wire.Options{Address: s.WeightsAddress, Dial: s.options.Dial})
		context.AfterFunc(ctx, client.Close)
		options.Loader = client
		engineVM := EngineVM{Engine: engine.New(ctx, s.withVMListUpdates(options, vm.ID))}
		var err error
		if vm.Address, engineVM.Listener, err = s.serve(vm.ID, engineVM.Engine.Handler()); err != nil {
			return err
		}
		engineVM.VM = vm
		s.Engines = append(s.Engines, engineVM)
		s.VMs.Set(vm)
	}
	return nil
}

func (s *Site) startStores(context.Context) error {
	for i := range s.options.Shape.Stores {
		vm := s.newVM("store", i, "")
		storeVM := StoreVM{Store: store.New(s.options.Store)}
		var err error
		if vm.Address, storeVM.Listener, err = s.serve(vm.ID, storeVM.Store.Handler()); err != nil {
			return err
		}
		storeVM.VM = vm
		s.Stores = append(s.Stores, storeVM)
		s.VMs.Set(vm)
	}
	return nil
}

func (s *Site) startServices(context.Context) error {
	for i, name := range s.options.Shape.Services {
		vm := s.newVM("service", i, name)
		options := s.options.Service
		options.Name = name
		serviceVM := ServiceVM{Service: service.New(options)}
		var err error
		if vm.Address, serviceVM.Listener, err = s.serve(vm.ID, serviceVM.Service.Handler()); err != nil {
			return err
		}
		serviceVM.VM = vm
		s.Services = append(s.Services, serviceVM)
		s.VMs.Set(vm)
	}
	return nil
}

// newVM returns the VM list entry of a VM, without its address, and assigns the VM
// to the next failure domain.
func (s *Site) newVM(role string, number int, serves string) vmlist.VM {
	domain := s.options.Shape.Domains[s.vmCount%len(s.options.Shape.Domains)]
	s.vmCount++
	return vmlist.VM{
		ID:     fmt.Sprintf("%s-%02d", role, number+1),
		Domain: domain,
		Role:   role,
		Serves: serves,
		State:  vmlist.StateLive,
	}
}

// serve starts one HTTP server and returns its address and its listener.
func (s *Site) serve(id string, handler http.Handler) (string, *fault.Listener, error) {
	listener, err := s.options.Listen(id)
	if err != nil {
		return "", nil, err
	}
	wrapped := fault.Wrap(listener)
	server := &http.Server{Handler: handler, BaseContext: s.baseContext}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(wrapped) }()
	return listener.Addr().String(), wrapped, nil
}
