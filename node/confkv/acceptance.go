package confkv

import (
	"context"
	"strings"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/node/worker"
)

// acceptanceInterval is the time between two reads of the session entries.
const acceptanceInterval = 250 * time.Millisecond

// AwaitAcceptance polls up to the given time until a committed version is
// accepted, and returns the last status. When no poll found the version
// accepted, it also returns code.NotAccepted, with the nodes that have not
// acknowledged the version or with the reason why they could not be read.
func AwaitAcceptance(ctx context.Context, service kv.Service, list vmlist.Lister, version config.Version, wait time.Duration) (config.AcceptanceStatus, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	acceptance := config.NewAcceptance(version)
	status := config.AcceptanceStatus{}
	cause := code.New(code.NotAccepted, "no node was asked in time")
	for {
		latest, err := checkAcceptance(ctx, service, list, acceptance)
		if err == nil && latest.Accepted {
			return latest, nil
		}
		if err == nil {
			status = latest
			cause = code.Newf(code.NotAccepted, "version %d is committed; not acknowledged by %s", version, strings.Join(latest.Missing, ", "))
		} else if ctx.Err() == nil {
			cause = code.Wrap(code.NotAccepted, "the version is committed; the acknowledgements cannot be read", err)
		}
		if !worker.Sleep(ctx, acceptanceInterval) {
			return status, cause
		}
	}
}

// checkAcceptance reads the member list and the acknowledgements once and
// returns the status of the version.
func checkAcceptance(ctx context.Context, service kv.Service, list vmlist.Lister, acceptance *config.Acceptance) (config.AcceptanceStatus, *code.Error) {
	members, err := Members(ctx, list)
	if err != nil {
		return config.AcceptanceStatus{}, err
	}
	sessions, err := Sessions(ctx, service)
	if err != nil {
		return config.AcceptanceStatus{}, err
	}
	acceptance.Reset()
	for _, session := range sessions {
		acceptance.Acknowledge(session.Node, config.Version(session.Version))
		for node, version := range session.Relayed {
			acceptance.Acknowledge(node, config.Version(version))
		}
	}
	return acceptance.Status(members, time.Now()), nil
}

// Members returns the member list: the identifiers of the entry VMs in the VM
// list.
func Members(ctx context.Context, list vmlist.Lister) ([]string, *code.Error) {
	vms, err := list.List(ctx)
	if err != nil {
		return nil, err
	}
	var members []string
	for _, vm := range vms {
		if vm.Role == string(fleet.RoleEntryVM) {
			members = append(members, vm.ID)
		}
	}
	return members, nil
}
