package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"tanagerspread/core/control"
	"tanagerspread/node/admin"
)

// maxStatusCalls limits the concurrent status calls. Without concurrency, a few
// dozen unreachable nodes would make the command take minutes.
const maxStatusCalls = 16

// nodeStatus is the status of one node: a line of the text output, or an element
// of the JSON output.
type nodeStatus struct {
	// ID is the identifier in the VM list. It is empty for a node that was
	// specified with --nodes.
	ID      string          `json:"id,omitempty"`
	Address string          `json:"address"`
	Status  *control.Status `json:"status,omitempty"`
	// Error is the reason why the call failed, or empty.
	Error string `json:"error,omitempty"`

	err error
}

// status prints the status of every node. It returns an error when a call of
// any node fails.
func (a *app) status([]string) error {
	ctx := context.Background()
	listed, err := a.listNodes(ctx)
	if err != nil {
		return err
	}
	if _, _, err := a.client(); err != nil {
		return err
	}
	nodes := a.fetchStatuses(ctx, listed)
	return errors.Join(a.print(nodes, statusText(nodes)), joinErrors(nodes))
}

// fetchStatuses calls the nodes concurrently, at most maxStatusCalls at a time,
// and returns the results in the order of the list.
func (a *app) fetchStatuses(ctx context.Context, listed []listedNode) []nodeStatus {
	nodes := make([]nodeStatus, len(listed))
	slots := make(chan struct{}, maxStatusCalls)
	var calls sync.WaitGroup
	for i, n := range listed {
		slots <- struct{}{}
		calls.Go(func() {
			nodes[i] = a.fetchStatus(ctx, n)
			<-slots
		})
	}
	calls.Wait()
	return nodes
}

func (a *app) fetchStatus(ctx context.Context, n listedNode) nodeStatus {
	result := nodeStatus{ID: n.id, Address: n.address}
	if n.address == "" {
		result.err = fmt.Errorf("node %s: the VM list names no admin address", n.id)
		result.Error = result.err.Error()
		return result
	}
	var status control.Status
	if result.err = a.call(ctx, http.MethodGet, n.address, admin.PathStatus, &status); result.err != nil {
		result.Error = result.err.Error()
		return result
	}
	result.Status = &status
	return result
}

func statusText(nodes []nodeStatus) string {
	var b strings.Builder
	for _, n := range nodes {
		if n.Status == nil {
			b.WriteString(strings.TrimSpace(n.ID+" "+n.Address) + " unreachable\n")
			continue
		}
		status := n.Status
		fmt.Fprintf(&b, "%s %s %s %s version %d, %d requests, %d waiting, %d of %d servers available\n",
			n.Address, status.Node, status.Domain, status.State, status.Version, status.Requests, status.Waiting, status.Available, status.Servers)
	}
	return b.String()
}

// joinErrors returns the joined errors of the failed calls, or nil when all
// succeeded.
func joinErrors(nodes []nodeStatus) error {
	var errs []error
	for _, n := range nodes {
		errs = append(errs, n.err)
	}
	return errors.Join(errs...)
}
