package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"tanagerspread/standin/deployed"
)

// callerCount is the number of callers that send at a time.
const callerCount = 8

// callDeadline is how long a caller waits.
const callDeadline = 4 * time.Second

// sharedPartCount is the number of parts that many prompts begin with.
const sharedPartCount = 4

// callPaths are the kinds of calls.
var callPaths = []string{"/charge/", "/lookup/", "/review/", "/caption/"}

// outcome is what a caller saw of one attempt.
type outcome struct {
	id     string
	path   string
	status int
	body   string
	// complete is true when the response is complete.
	complete bool
}

// claimsNotExecuted reports whether the status says that the call has not run and never
// will.
func (o outcome) claimsNotExecuted() bool {
	switch o.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// callers send calls until they are stopped. Each keeps its connection to a node
// until that one is gone.
type callers struct {
	site     *site
	mu       sync.Mutex
	outcomes []outcome
}

func (c *callers) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { c.runCaller(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	group.Wait()
}

func (c *callers) runCaller(ctx context.Context, number int, random *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		n := c.site.nodes[(number+i/20)%len(c.site.nodes)]
		id := fmt.Sprintf("c%d-%d", number, i)
		c.record(call(ctx, client, n, id, callPaths[random.IntN(len(callPaths))], validKey))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
		}
	}
}

func (c *callers) record(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func newClient() *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
	}
}

// call makes one attempt. The parts of its prompt are shared by many calls.
func call(ctx context.Context, client *http.Transport, n *node, id, path, key string) outcome {
	o := outcome{id: id, path: path}
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddress+path+id, strings.NewReader("body of "+id))
	if err != nil {
		return o
	}
	request.GetBody = nil
	request.Host = soakHost
	request.Header = callHeader(id, path, key)
	response, err := client.RoundTrip(request)
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	o.status = response.StatusCode
	o.body = string(body)
	o.complete = err == nil
	return o
}

func callHeader(id, path, key string) http.Header {
	attempt := deployed.Call{ID: id, Key: key, Deadline: callDeadline}
	if path == "/review/" || path == "/caption/" {
		shared := fmt.Sprintf("aa%d", len(id)%sharedPartCount)
		attempt.Parts = []deployed.Part{{ID: shared, Tokens: 3000}, {ID: fmt.Sprintf("%x", id), Tokens: 10}}
		attempt.Answer = 20
	}
	header := attempt.Header()
	deployed.Forge(header)
	return header
}
