package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"

	"tanagerspread/standin/deployed"
)

// injector injects faults in a random order. Faults overlap: each lasts until
// one of the same kind replaces it, or until clearFaults.
type injector struct {
	site   *site
	random *rand.Rand
	// noticeRandom chooses what servers say about themselves and which connections go
	// silent. It is apart from random, so that the other faults of a seed stay the same.
	noticeRandom *rand.Rand
	// returns copies the store and lets it revert.
	returns storeReturns
	// paused has the nodes that are stopped with SIGSTOP.
	paused map[*node]bool
	// noticeServers has the servers whose statements only another process takes back.
	noticeServers map[*server]bool
}

// newInjector returns an injector whose faults the seed determines.
func newInjector(s *site, seed uint64) *injector {
	return &injector{
		site: s, random: rand.New(rand.NewPCG(seed, seed)), noticeRandom: rand.New(rand.NewPCG(seed, seed+1)), returns: newStoreReturns(s, seed),
		paused: map[*node]bool{}, noticeServers: map[*server]bool{},
	}
}

// faultKinds are the faults. Each returns a description of what it injected.
// A kind that is listed more than once is more likely.
var faultKinds = []func(*injector) string{
	(*injector).killNode, (*injector).stopNode, (*injector).pauseNode, (*injector).reloadNode,
	(*injector).setServerProxyMode, (*injector).resetServerConnections, (*injector).setStoreProxyMode, (*injector).resetStoreConnections,
	(*injector).setStoreStatus, (*injector).injectStoreFault, (*injector).setServerBehaviour, (*injector).setServerBehaviour, (*injector).setServerBehaviour,
	(*injector).requestNewWeights, (*injector).rewriteConfiguration, (*injector).setServerState,
}

func (f *injector) inject() string {
	description := faultKinds[f.random.IntN(len(faultKinds))](f)
	if f.noticeRandom.IntN(noticeInterval) == 0 {
		description += "; " + f.setServerNotice()
	}
	if f.noticeRandom.IntN(silenceInterval) == 0 {
		description += "; " + f.silenceStoreConnections()
	}
	if f.returns.random.IntN(returnInterval) == 0 {
		description += "; " + f.returns.play()
	}
	return description
}

const (
	// noticeInterval is the mean number of faults between two notices of servers.
	noticeInterval = 3
	// silenceInterval is the mean number of faults between two times at which the
	// connections of a node to the store go silent.
	silenceInterval = 6
)

// silenceStoreConnections makes the open connections of a node to the store deliver
// nothing more without being closed.
func (f *injector) silenceStoreConnections() string {
	i := f.noticeRandom.IntN(len(f.site.storeProxies))
	f.site.storeProxies[i].SilenceConnections()
	return fmt.Sprintf("connections of node %d to the store go silent", i)
}

// retryAfterValues are values of Retry-After, also malformed ones.
var retryAfterValues = []string{"", "0.5", "2", "90", "-1", "soon", "NaN", "1e400"}

// setServerNotice makes a server say that it leaves, or sets the Retry-After of its 503
// responses.
func (f *injector) setServerNotice() string {
	s := f.site.servers[f.noticeRandom.IntN(len(f.site.servers))]
	f.noticeServers[s] = true
	if f.noticeRandom.IntN(4) == 0 {
		s.SetLeaving(true)
		return s.ID + " says that it leaves"
	}
	value := retryAfterValues[f.noticeRandom.IntN(len(retryAfterValues))]
	busy := f.noticeRandom.IntN(2) == 0
	s.SetRetryAfter(value)
	s.SetBusy(busy)
	return fmt.Sprintf("%s: Retry-After %q, refuses management calls: %v", s.ID, value, busy)
}

// restartServers ends what servers say about themselves, as another process does.
func (f *injector) restartServers() {
	for s := range f.noticeServers {
		s.SetLeaving(false)
		s.SetRetryAfter("")
		s.SetBusy(false)
		s.StartedAtMS++
	}
}

func (f *injector) randomNode() *node {
	return f.site.nodes[f.random.IntN(len(f.site.nodes))]
}

func (f *injector) randomServer() *server {
	return f.site.servers[f.random.IntN(len(f.site.servers))]
}

func (f *injector) killNode() string {
	return f.restartNode("kill ", syscall.SIGKILL)
}

func (f *injector) stopNode() string {
	return f.restartNode("stop ", syscall.SIGTERM)
}

// restartNode stops a random node with a signal, waits until it has exited and
// starts it again.
func (f *injector) restartNode(action string, signal syscall.Signal) string {
	n := f.randomNode()
	f.resumeNode(n)
	n.signal(signal)
	n.wait()
	if err := n.start(f.site.binary); err != nil {
		return action + n.name + ": " + err.Error()
	}
	return action + n.name
}

// pauseNode stops a random node with SIGSTOP, or resumes it if it is paused.
func (f *injector) pauseNode() string {
	n := f.randomNode()
	if f.paused[n] {
		f.resumeNode(n)
		return "resume " + n.name
	}
	f.paused[n] = true
	n.signal(syscall.SIGSTOP)
	return "pause " + n.name
}

func (f *injector) resumeNode(n *node) {
	delete(f.paused, n)
	n.signal(syscall.SIGCONT)
}

// reloadNode makes a random node reload its settings.
func (f *injector) reloadNode() string {
	n := f.randomNode()
	n.signal(syscall.SIGHUP)
	return "reload " + n.name
}

func (f *injector) setServerProxyMode() string {
	s, mode := f.randomServer(), Mode(f.random.IntN(int(modeCount)))
	s.proxy.SetMode(mode)
	return fmt.Sprintf("proxy of %s: mode %d", s.ID, mode)
}

func (f *injector) resetServerConnections() string {
	s := f.randomServer()
	s.proxy.Reset()
	return "reset connections of " + s.ID
}

func (f *injector) setStoreProxyMode() string {
	i, mode := f.random.IntN(len(f.site.storeProxies)), Mode(f.random.IntN(int(modeCount)))
	f.site.storeProxies[i].SetMode(mode)
	return fmt.Sprintf("proxy of the store for node %d: mode %d", i, mode)
}

func (f *injector) resetStoreConnections() string {
	i := f.random.IntN(len(f.site.storeProxies))
	f.site.storeProxies[i].Reset()
	return fmt.Sprintf("reset connections of node %d to the store", i)
}

// setStoreStatus makes the store answer every call with an error status. The
// status 0 makes it serve calls again.
func (f *injector) setStoreStatus() string {
	status := []int{0, http.StatusServiceUnavailable, http.StatusTooManyRequests}[f.random.IntN(3)]
	f.site.store.SetErrorStatus(status)
	return fmt.Sprintf("store answers with %d", status)
}

// injectStoreFault makes the store lose responses to writes, delete its history
// of changes, or stall or resume its watches.
func (f *injector) injectStoreFault() string {
	switch f.random.IntN(3) {
	case 0:
		f.site.store.LoseNextResponses(2)
		return "store loses the answers of two writes"
	case 1:
		f.site.store.CompactHistory()
		return "store drops its history"
	}
	stalled := f.random.IntN(2) == 0
	f.site.store.SetWatchesStalled(stalled)
	return fmt.Sprintf("watches deaf: %v", stalled)
}

// setServerBehaviour sets how the servers handle the next one to six calls.
func (f *injector) setServerBehaviour() string {
	plan := make([]deployed.Behaviour, 1+f.random.IntN(6))
	for i := range plan {
		plan[i] = deployed.Behaviour(f.random.IntN(int(deployed.BehaviourCount)))
	}
	f.site.plan.SetNext(plan...)
	return fmt.Sprintf("servers behave %v", plan)
}

// requestNewWeights specifies the next weight version for the model servers.
func (f *injector) requestNewWeights() string {
	f.site.weightsVersion++
	f.site.store.SetWeightVersion(f.site.weightsVersion)
	return fmt.Sprintf("weights %d named", f.site.weightsVersion)
}

// rewriteConfiguration writes a new version of the configuration with the same
// content.
func (f *injector) rewriteConfiguration() string {
	f.site.writeConfiguration(validKey)
	return fmt.Sprintf("configuration %d", f.site.configVersion)
}

// setServerState writes the entry of a random server as ready or draining.
func (f *injector) setServerState() string {
	s := f.randomServer()
	state := []string{"ready", "draining"}[f.random.IntN(2)]
	f.site.writeServerEntry(s, state)
	return s.ID + " is " + state
}

// clearFaults ends all faults. Connections through the proxies are reset, so that
// none continues after a loss of bytes.
func (f *injector) clearFaults() {
	for _, n := range f.site.nodes {
		f.resumeNode(n)
	}
	for _, proxy := range f.site.storeProxies {
		proxy.SetMode(Pass)
		proxy.Reset()
	}
	f.site.store.SetErrorStatus(0)
	f.site.store.SetWatchesStalled(false)
	f.site.store.LoseNextResponses(0)
	f.site.plan.SetNext()
	f.restartServers()
	for _, s := range f.site.servers {
		s.proxy.SetMode(Pass)
		s.proxy.Reset()
		f.site.writeServerEntry(s, "ready")
	}
}
