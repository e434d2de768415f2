package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"tanagerspread/client/vmlist"
	"tanagerspread/core/fleet"
	"tanagerspread/node/admin"
	"tanagerspread/node/settings"
)

const (
	// callTimeout limits one call of a node.
	callTimeout = 5 * time.Second
	// maxResponseBytes limits the response body of a node.
	maxResponseBytes = 64 << 20
)

// listedNode is a node from --nodes or from the VM list.
type listedNode struct {
	// id is empty for a node from --nodes.
	id string
	// address is the admin address. It is empty when the VM list has none.
	address string
}

// adminAddresses returns the admin addresses of the nodes, without the nodes
// that have none.
func (a *app) adminAddresses(ctx context.Context) ([]string, error) {
	nodes, err := a.listNodes(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, n := range nodes {
		if n.address != "" {
			out = append(out, n.address)
		}
	}
	return out, nil
}

// listNodes returns the nodes of --nodes or, without that option, the entry
// nodes of the VM list. It returns a usageError when neither option is set.
func (a *app) listNodes(ctx context.Context) ([]listedNode, error) {
	var out []listedNode
	for _, address := range a.options.Nodes {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, &usageError{reason: fmt.Sprintf("--nodes %s is not an IP number with a port", address)}
		}
		out = append(out, listedNode{address: address})
	}
	switch {
	case len(out) > 0:
		return out, nil
	case a.options.VMList == "":
		return nil, &usageError{reason: "--nodes or --vm-list is required"}
	}
	list, err := a.vmList()
	if err != nil {
		return nil, err
	}
	vms, codeErr := list.List(ctx)
	if codeErr != nil {
		return nil, codeErr
	}
	for _, vm := range vms {
		if vm.Role == string(fleet.RoleEntryVM) {
			out = append(out, listedNode{id: vm.ID, address: vm.AdminAddress})
		}
	}
	return out, nil
}

// vmList returns a client of the VM list at the address of --vm-list, or a
// usageError when the option is missing or the build has no such client.
func (a *app) vmList() (vmlist.Lister, error) {
	if a.options.VMList == "" {
		return nil, &usageError{reason: "--vm-list is required"}
	}
	if a.clients.VMList == nil {
		return nil, &usageError{reason: "this build has no client of the VM list; use --nodes"}
	}
	return a.clients.VMList(a.options.VMList), nil
}

// resolveAddress returns the admin address of a node that is specified by its
// address or its identifier. It looks up an identifier in the VM list first and
// then in the status responses of the nodes.
func (a *app) resolveAddress(ctx context.Context, nameOrAddress string) (string, error) {
	if _, err := netip.ParseAddrPort(nameOrAddress); err == nil {
		return nameOrAddress, nil
	}
	listed, err := a.listNodes(ctx)
	if err != nil {
		return "", err
	}
	for _, n := range listed {
		if n.id == nameOrAddress && n.address != "" {
			return n.address, nil
		}
	}
	for _, result := range a.fetchStatuses(ctx, listed) {
		if result.Status != nil && result.Status.Node == nameOrAddress {
			return result.Address, nil
		}
	}
	return "", fmt.Errorf("no node that answers is named %s", nameOrAddress)
}

// call sends one request to a node and decodes the response. It returns an error
// when the node does not respond within callTimeout or responds with an error.
func (a *app) call(ctx context.Context, method, address, path string, into any) error {
	client, scheme, err := a.client()
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("node %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("node %s: %w", address, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		var refusal admin.Error
		_ = json.Unmarshal(body, &refusal)
		return fmt.Errorf("node %s: %d %s: %s", address, refusal.Code, refusal.Name, refusal.Message)
	}
	return json.NewDecoder(bytes.NewReader(body)).Decode(into)
}

// client returns an HTTP client and the URL scheme. It uses TLS when --ca is
// set, and returns a usageError when the TLS options are inconsistent.
func (a *app) client() (*http.Client, string, error) {
	switch {
	case (a.options.Cert == "") != (a.options.Key == ""):
		return nil, "", &usageError{reason: "--cert and --key belong together"}
	case a.options.CA == "" && a.options.Cert != "":
		return nil, "", &usageError{reason: "--cert needs --ca, which turns on TLS"}
	case a.options.CA == "":
		return &http.Client{Transport: &http.Transport{}}, "http", nil
	}
	pool, err := settings.LoadPool(a.options.CA)
	if err != nil {
		return nil, "", err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if a.options.Cert != "" {
		pair, err := tls.LoadX509KeyPair(a.options.Cert, a.options.Key)
		if err != nil {
			return nil, "", err
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, "https", nil
}
