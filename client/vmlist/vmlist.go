// Package vmlist defines the platform's VM list. The list lags behind the
// state of the VMs.
package vmlist

import (
	"context"

	"tanagerspread/core/code"
)

// The states of a VM in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one entry of the list.
type VM struct {
	ID string `json:"id"`
	// Address is the IP address and port of the VM's main service.
	Address string `json:"address"`
	// PeerAddress is the IP address and port for the protocol between nodes. It
	// is set for entry VMs only.
	PeerAddress string `json:"peer_address,omitempty"`
	// AdminAddress is the IP address and port for operators. It is set for entry
	// VMs only.
	AdminAddress string `json:"admin_address,omitempty"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Role is "entry", "engine", "service" or "store".
	Role string `json:"role"`
	// Serves is the model or service of a backend server.
	Serves string `json:"serves,omitempty"`
	// Weights is the weight version that an engine has loaded.
	Weights int    `json:"weights,omitempty"`
	State   string `json:"state"`
}

// Lister reads the VM list.
type Lister interface {
	// List returns the VMs in the list, or code.VMListAway.
	List(ctx context.Context) ([]VM, *code.Error)
}

// PathVMs is the HTTP path of the list.
const PathVMs = "/vms"
