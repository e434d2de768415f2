package measure

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/bench/workload"
	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
	"tanagerspread/node/ingress"
	"tanagerspread/node/runtime"
	"tanagerspread/standin/pipe"
	"tanagerspread/standin/site"
)

// vmListInterval is the interval at which nodes receive the VM list.
const vmListInterval = time.Second

// system is the system under test: a running site of stand-ins with its nodes.
type system struct {
	options  Options
	site     *site.Site
	nodes    []*entryNode
	client   *http.Client
	network  *pipe.Network
	failures *failureSink
	cancel   context.CancelFunc
}

// entryNode is one node and its address. All fields but killTime are set before
// the first request is sent.
type entryNode struct {
	address string
	node    *runtime.Node
	kill    context.CancelFunc
	killTime
}

func organisationName(i int) request.Organisation {
	return request.Organisation(fmt.Sprintf("organisation-%02d", i))
}

func bearerToken(i int) string {
	return fmt.Sprintf("token-%02d", i)
}

// startSystem starts the stand-ins and the nodes. They run until stop is called.
func startSystem(ctx context.Context, options Options) (*system, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &system{options: options, network: pipe.NewNetwork(), failures: &failureSink{}, cancel: cancel}
	shape, invalid := site.ShapeOf(options.Profile.Site, 1)
	if invalid != nil {
		cancel()
		return nil, invalid
	}
	shape.Engines = options.Engines
	shape.Services = nil
	var err error
	s.site, err = site.Start(ctx, site.Options{
		Shape:  shape,
		Engine: options.engineOptions(),
		Store:  options.storeOptions(),
		Listen: func(id string) (net.Listener, error) { return s.network.Listen(id + ":80"), nil },
		Dial:   s.network.Dial,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}}
	for i := range options.Nodes {
		if err := s.startNode(ctx, i, shape); err != nil {
			s.stop()
			return nil, err
		}
	}
	go s.publishVMLists(ctx)
	return s, nil
}

func (s *system) startNode(ctx context.Context, i int, shape site.Shape) error {
	name := fmt.Sprintf("entry-%02d", i+1)
	address := name + ":80"
	node, err := runtime.New(runtime.Options{
		Control: control.Options{
			Node: name, Domain: fleet.Domain(shape.Domains[i%len(shape.Domains)]), Charts: chart.Embedded(),
			ServerSlots: serverSlots, Seed: s.options.Seed + uint64(i),
		},
		Listener:     s.network.Listen(address),
		Dial:         s.network.Dial,
		Recorder:     ingress.NoRecorder(),
		Logger:       logr.New(s.failures),
		MaxBodyBytes: maxBodyBytes,
	})
	if err != nil {
		return err
	}
	ctx, kill := context.WithCancel(ctx)
	s.nodes = append(s.nodes, &entryNode{address: address, node: node, kill: kill})
	go func() { _ = node.Run(ctx) }()
	node.Control().Tell(control.Configure{Version: 1, Rules: buildRules(s.options, shape.Model)})
	node.Control().Tell(s.vmList())
	return nil
}

// publishVMLists sends the VM list to the nodes at each interval until the context
// ends.
func (s *system) publishVMLists(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, n := range s.nodes {
				n.node.Control().Tell(s.vmList())
			}
		}
	}
}

func (s *system) vmList() control.VMList {
	var vms []control.VM
	for _, e := range s.site.Engines {
		vms = append(vms, control.VM{ID: e.ID, Address: e.Address, Domain: fleet.Domain(e.Domain), Role: fleet.RoleEngine, Serves: e.Serves, Weights: e.Weights})
	}
	for _, v := range s.site.Stores {
		vms = append(vms, control.VM{ID: v.ID, Address: v.Address, Domain: fleet.Domain(v.Domain), Role: fleet.RoleStore})
	}
	return control.VMList{VMs: vms}
}

func (s *system) stop() {
	s.cancel()
	_ = s.site.Close()
	s.client.CloseIdleConnections()
}

// linkBytes returns the number of bytes that all stores have transferred over
// their links so far.
func (s *system) linkBytes() int64 {
	var sum int64
	for _, v := range s.site.Stores {
		sum += v.Store.Stats().LinkBytes
	}
	return sum
}

// buildRules returns the rules for the profile of the run.
func buildRules(options Options, model string) *config.Rules {
	profile := options.Profile
	rules := &config.Rules{
		Organisations: map[request.Organisation]config.Organisation{},
		Tokens:        map[request.Digest]config.Token{},
		Classes:       map[request.Class]config.Class{},
		Models:        map[string]config.Model{model: {Weights: 1, Class: profile.Short.Name}},
		Policy: config.Policy{
			Placement:       options.Placement,
			LinkPrice:       profile.LinkPrice,
			ExportMinBlocks: profile.ExportMinBlocks,
		},
	}
	for i := range profile.OrganisationShares {
		rules.Organisations[organisationName(i)] = config.Organisation{
			// The VM list contains no entry VMs, so each node assumes that it is
			// the only one and applies the full rate. The rate is divided here.
			TokenRate:  options.TokenRate / float64(options.Nodes),
			TokenBurst: int(options.TokenRate / float64(options.Nodes) * tokenBurstTime.Seconds()),
		}
		rules.Tokens[sha256.Sum256([]byte(bearerToken(i)))] = config.Token{Organisation: organisationName(i)}
	}
	for _, class := range []workload.Class{profile.Short, profile.Long} {
		rules.Classes[class.Name] = config.Class{Priority: class.Priority, QueueLimit: classQueueLimit, FirstTokenTarget: class.FirstTokenTarget}
	}
	return rules
}
