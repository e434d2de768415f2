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

// Await waits up to the given time until a committed version is accepted. It
// returns the last verdict, and code.NotAccepted with the nodes that have not
// acknowledged when the version is not known to be accepted.
func Await(ctx context.Context, service kv.Service, list vmlist.Lister, version config.Version, wait time.Duration) (config.AcceptanceStatus, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	acceptance := config.NewAcceptance(version)
	verdict := config.AcceptanceStatus{}
	cause := code.New(code.NotAccepted, "no node was asked in time")
	for {
		next, err := look(ctx, service, list, acceptance)
		if err == nil && next.Accepted {
			return next, nil
		}
		if err == nil {
			verdict = next
			cause = code.Newf(code.NotAccepted, "version %d is committed; not acknowledged by %s", version, strings.Join(next.Missing, ", "))
		} else if ctx.Err() == nil {
			cause = code.Wrap(code.NotAccepted, "the version is committed; the acknowledgements cannot be read", err)
		}
		if !worker.Sleep(ctx, acceptanceInterval) {
			return verdict, cause
		}
	}
}

// look collects the acknowledgements once and decides.
func look(ctx context.Context, service kv.Service, list vmlist.Lister, acceptance *config.Acceptance) (config.AcceptanceStatus, *code.Error) {
	members, err := Members(ctx, list)
	if err != nil {
		return config.AcceptanceStatus{}, err
	}
	sessions, err := Sessions(ctx, service)
	if err != nil {
		return config.AcceptanceStatus{}, err
	}
	acceptance.Reset()
	for _, s := range sessions {
		acceptance.Acknowledge(s.Node, config.Version(s.Version))
		for node, relayed := range s.Relayed {
			acceptance.Acknowledge(node, config.Version(relayed))
		}
	}
	return acceptance.Status(members, time.Now()), nil
}

// Members returns the member list: the entry VMs in the VM list.
func Members(ctx context.Context, list vmlist.Lister) ([]string, *code.Error) {
	vms, err := list.List(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, vm := range vms {
		if vm.Role == string(fleet.RoleEntry) {
			out = append(out, vm.ID)
		}
	}
	return out, nil
}
