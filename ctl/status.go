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

// statusCalls bounds the nodes that are asked at the same time, so that a
// few dozen unreachable nodes do not make the command take minutes.
const statusCalls = 16

// nodeStatus is one line of the status.
type nodeStatus struct {
	// ID is the identifier in the VM list; it is empty for a node that the
	// command line names.
	ID      string          `json:"id,omitempty"`
	Address string          `json:"address"`
	Status  *control.Status `json:"status,omitempty"`
	// Error tells why the node did not answer.
	Error string `json:"error,omitempty"`

	err error
}

// status prints every node and fails when one does not answer.
func (a *app) status([]string) error {
	ctx := context.Background()
	listed, err := a.nodes(ctx)
	if err != nil {
		return err
	}
	if _, _, err := a.client(); err != nil {
		return err
	}
	nodes := a.askAll(ctx, listed)
	return errors.Join(a.print(nodes, statusText(nodes)), unreachable(nodes))
}

// askAll asks the nodes at the same time and returns their answers in the
// order of the list.
func (a *app) askAll(ctx context.Context, listed []listedNode) []nodeStatus {
	nodes := make([]nodeStatus, len(listed))
	free := make(chan struct{}, statusCalls)
	var calls sync.WaitGroup
	for i, n := range listed {
		free <- struct{}{}
		calls.Go(func() {
			nodes[i] = a.ask(ctx, n)
			<-free
		})
	}
	calls.Wait()
	return nodes
}

func (a *app) ask(ctx context.Context, n listedNode) nodeStatus {
	answer := nodeStatus{ID: n.id, Address: n.address}
	if n.address == "" {
		answer.err = fmt.Errorf("node %s: the VM list names no admin address", n.id)
		answer.Error = answer.err.Error()
		return answer
	}
	var got control.Status
	if answer.err = a.call(ctx, http.MethodGet, n.address, admin.PathStatus, &got); answer.err != nil {
		answer.Error = answer.err.Error()
		return answer
	}
	answer.Status = &got
	return answer
}

func statusText(nodes []nodeStatus) string {
	var b strings.Builder
	for _, n := range nodes {
		if n.Status == nil {
			b.WriteString(strings.TrimSpace(n.ID+" "+n.Address) + " unreachable\n")
			continue
		}
		got := n.Status
		fmt.Fprintf(&b, "%s %s %s %s version %d, %d requests, %d waiting, %d of %d servers available\n",
			n.Address, got.Node, got.Domain, got.State, got.Version, got.Requests, got.Waiting, got.Available, got.Servers)
	}
	return b.String()
}

// unreachable returns the errors of the nodes that did not answer, or nil.
func unreachable(nodes []nodeStatus) error {
	var failed []error
	for _, n := range nodes {
		failed = append(failed, n.err)
	}
	return errors.Join(failed...)
}
