package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagerspread/standin/deployed"
)

// callerCount is the number of concurrent callers.
const callerCount = 8

// callDeadline is how long a caller waits for the complete response.
const callDeadline = 4 * time.Second

// sharedPartCount is the number of different prompt parts that prompts begin
// with. Many prompts share each of them.
const sharedPartCount = 4

// callPaths are the path prefixes of the routes, one for each kind of call.
var callPaths = []string{"/charge/", "/lookup/", "/review/", "/caption/"}

// outcome is the result of one attempt as its caller received it.
type outcome struct {
	id     string
	path   string
	status int
	body   string
	// complete is true when the response was received to its end.
	complete bool
	// err is the error of the transport, if no complete response arrived.
	err error
}

// String describes the outcome without the body.
func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%d (%v)", o.status, o.err)
	}
	return strconv.Itoa(o.status)
}

// claimsNotExecuted reports whether the status guarantees that the call has not
// run and never will.
func (o outcome) claimsNotExecuted() bool {
	switch o.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// callers send calls until they are stopped. Each sends 20 calls to one node,
// then 20 to the next, and reuses a connection until it is closed.
type callers struct {
	site     *site
	mu       sync.Mutex
	outcomes []outcome
}

// run runs all callers until the context ends. The seed determines the kinds of
// calls and the pauses between them.
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
		if i%crashInterval == crashInterval-1 {
			id = crashPrefix + id
		}
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

// answered returns the number of calls with status 200 and a complete response.
func (c *callers) answered() int {
	answered := 0
	for _, o := range c.outcomes {
		if o.status == http.StatusOK && o.complete {
			answered++
		}
	}
	return answered
}

func newClient() *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
	}
}

// call makes one attempt and returns its outcome. The status is 0 when no
// response arrived. GetBody is nil so that the transport cannot send the body
// twice.
func call(ctx context.Context, client *http.Transport, n *node, id, path, key string) outcome {
	o := outcome{id: id, path: path}
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddress+path+id, strings.NewReader("body of "+id))
	if err != nil {
		o.err = err
		return o
	}
	request.GetBody = nil
	request.Host = soakHost
	request.Header = callHeader(id, path, key)
	response, err := client.RoundTrip(request)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	o.status = response.StatusCode
	o.body = string(body)
	o.complete, o.err = err == nil, err
	return o
}

// crashPart is a prompt part that crashes the model servers, crashPrefix the beginning of
// the ids of the calls that have it, crashInterval the number of calls of one caller
// between two of them.
const (
	crashPart     = "5eed"
	crashPrefix   = "crash"
	crashInterval = 50
)

// callHeader returns the header of a call, with spoofed values in those fields
// that only the system may set. Prompts begin with a part that they share with
// other calls.
func callHeader(id, path, key string) http.Header {
	attempt := deployed.Call{ID: id, Key: key, Deadline: callDeadline}
	if path == "/review/" || path == "/caption/" {
		shared := fmt.Sprintf("aa%d", len(id)%sharedPartCount)
		if strings.HasPrefix(id, crashPrefix) {
			shared = crashPart
		}
		attempt.Parts = []deployed.Part{{ID: shared, Tokens: 3000}, {ID: fmt.Sprintf("%x", id), Tokens: 10}}
		attempt.MaxAnswerTokens = 20
	}
	header := attempt.Header()
	deployed.SpoofHeaders(header)
	return header
}
