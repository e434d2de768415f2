package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"

	"tanagerspread/standin/deployed"
)

// injector injects faults in a random order. Faults overlap: each lasts until a
// later one of its kind, or until heal.
type injector struct {
	site   *site
	random *rand.Rand
	// paused holds the nodes that stand still.
	paused map[*node]bool
}

// kinds are the faults; each returns what it did.
var kinds = []func(*injector) string{
	(*injector).killNode, (*injector).stopNode, (*injector).pauseNode, (*injector).hangUp,
	(*injector).proxyServer, (*injector).resetServer, (*injector).proxyStore, (*injector).resetStore,
	(*injector).storeAway, (*injector).storeOdd, (*injector).badServer, (*injector).badServer, (*injector).badServer,
	(*injector).nameWeights, (*injector).reconfigure, (*injector).drainServer,
}

func (f *injector) inject() string {
	return kinds[f.random.IntN(len(kinds))](f)
}

func (f *injector) node() *node {
	return f.site.nodes[f.random.IntN(len(f.site.nodes))]
}

func (f *injector) server() *server {
	return f.site.servers[f.random.IntN(len(f.site.servers))]
}

func (f *injector) killNode() string {
	return f.restart("kill ", syscall.SIGKILL)
}

func (f *injector) stopNode() string {
	return f.restart("stop ", syscall.SIGTERM)
}

// restart ends a node with a signal and starts it again.
func (f *injector) restart(what string, signal syscall.Signal) string {
	n := f.node()
	f.resume(n)
	n.signal(signal)
	n.wait()
	if err := n.start(f.site.binary); err != nil {
		return what + n.name + ": " + err.Error()
	}
	return what + n.name
}

func (f *injector) pauseNode() string {
	n := f.node()
	if f.paused == nil {
		f.paused = map[*node]bool{}
	}
	if f.paused[n] {
		f.resume(n)
		return "resume " + n.name
	}
	f.paused[n] = true
	n.signal(syscall.SIGSTOP)
	return "pause " + n.name
}

func (f *injector) resume(n *node) {
	delete(f.paused, n)
	n.signal(syscall.SIGCONT)
}

func (f *injector) hangUp() string {
	n := f.node()
	n.signal(syscall.SIGHUP)
	return "reload " + n.name
}

func (f *injector) proxyServer() string {
	s, mode := f.server(), Mode(f.random.IntN(int(modes)))
	s.proxy.Set(mode)
	return fmt.Sprintf("proxy of %s: mode %d", s.ID, mode)
}

func (f *injector) resetServer() string {
	s := f.server()
	s.proxy.Reset()
	return "reset connections of " + s.ID
}

func (f *injector) proxyStore() string {
	i, mode := f.random.IntN(len(f.site.storeProxies)), Mode(f.random.IntN(int(modes)))
	f.site.storeProxies[i].Set(mode)
	return fmt.Sprintf("proxy of the store for node %d: mode %d", i, mode)
}

func (f *injector) resetStore() string {
	i := f.random.IntN(len(f.site.storeProxies))
	f.site.storeProxies[i].Reset()
	return fmt.Sprintf("reset connections of node %d to the store", i)
}

func (f *injector) storeAway() string {
	status := []int{0, http.StatusServiceUnavailable, http.StatusTooManyRequests}[f.random.IntN(3)]
	f.site.store.SetErrorStatus(status)
	return fmt.Sprintf("store answers with %d", status)
}

func (f *injector) storeOdd() string {
	switch f.random.IntN(3) {
	case 0:
		f.site.store.LoseNextResponses(2)
		return "store loses the answers of two writes"
	case 1:
		f.site.store.CompactHistory()
		return "store drops its history"
	}
	deaf := f.random.IntN(2) == 0
	f.site.store.SetWatchesStalled(deaf)
	return fmt.Sprintf("watches deaf: %v", deaf)
}

func (f *injector) badServer() string {
	plan := make([]deployed.Behaviour, 1+f.random.IntN(6))
	for i := range plan {
		plan[i] = deployed.Behaviour(f.random.IntN(int(deployed.BehaviourCount)))
	}
	f.site.plan.SetNext(plan...)
	return fmt.Sprintf("servers behave %v", plan)
}

func (f *injector) nameWeights() string {
	f.site.weights++
	f.site.store.SetWeightVersion(f.site.weights)
	return fmt.Sprintf("weights %d named", f.site.weights)
}

func (f *injector) reconfigure() string {
	f.site.configure(keyKept)
	return fmt.Sprintf("configuration %d", f.site.version)
}

func (f *injector) drainServer() string {
	s := f.server()
	state := []string{"ready", "draining"}[f.random.IntN(2)]
	f.site.announce(s, state)
	return s.ID + " is " + state
}

// heal ends all faults.
func (f *injector) heal() {
	for _, n := range f.site.nodes {
		f.resume(n)
	}
	for _, proxy := range f.site.storeProxies {
		proxy.Set(Pass)
		proxy.Reset()
	}
	f.site.store.SetErrorStatus(0)
	f.site.store.SetWatchesStalled(false)
	f.site.store.LoseNextResponses(0)
	f.site.plan.SetNext()
	for _, s := range f.site.servers {
		s.proxy.Set(Pass)
		s.proxy.Reset()
		f.site.announce(s, "ready")
	}
}
