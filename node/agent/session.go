package agent

import (
	"context"
	"encoding/json"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/node/confkv"
)

// removeTimeout bounds the deletion of the session entry of a leaving node.
const removeTimeout = 1500 * time.Millisecond

// runSessionCommands executes the steps of the session one after the other.
func (a *Agents) runSessionCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-a.sessionCommands:
			askedAt := time.Now()
			result := a.runSessionStep(ctx, command)
			if result.Err != nil {
				a.logCallFailure(string(command.Step), result.Err)
			} else {
				a.tell(control.ServiceReached{AskedAt: askedAt})
			}
			a.tell(result)
		}
	}
}

func (a *Agents) runSessionStep(ctx context.Context, command control.SessionCommand) control.LeaseResult {
	timeout := serviceTimeout
	if command.Step == control.StepRemove {
		timeout = removeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := control.LeaseResult{Step: command.Step}
	switch command.Step {
	case control.StepGrant:
		lease, err := a.options.Service.Grant(ctx, config.SessionTTL)
		result.Lease, result.Err = string(lease), err
	case control.StepWrite:
		result.Err = a.writeSessionEntry(ctx, command)
	case control.StepRenew:
		result.Err = a.options.Service.Renew(ctx, kv.LeaseID(command.Lease))
	case control.StepRemove:
		result.Err = a.removeSessionEntry(ctx, command.Entry.Node)
	}
	return result
}

// writeSessionEntry writes the session entry of this node. It replaces an
// existing entry, such as that of an earlier process on the same VM.
func (a *Agents) writeSessionEntry(ctx context.Context, command control.SessionCommand) *code.Error {
	data, err := json.Marshal(confkv.NewSession(command.Entry, a.options.Address, a.options.PeerAddress, a.options.Domain))
	if err != nil {
		return code.Wrap(code.Internal, "the session entry cannot be encoded", err)
	}
	key := confkv.PrefixNodes + command.Entry.Node
	existing, getErr := a.options.Service.Get(ctx, key)
	if getErr != nil && getErr.Code != code.KeyMissing {
		return getErr
	}
	_, putErr := a.options.Service.Put(ctx, kv.Write{Key: key, Value: data, Expected: existing.Revision, Lease: kv.LeaseID(command.Lease)})
	return putErr
}

// removeSessionEntry deletes the session entry of a node, if it exists.
func (a *Agents) removeSessionEntry(ctx context.Context, node string) *code.Error {
	key := confkv.PrefixNodes + node
	existing, err := a.options.Service.Get(ctx, key)
	if err != nil && err.Code == code.KeyMissing {
		return nil
	}
	if err != nil {
		return err
	}
	return a.options.Service.Delete(ctx, key, existing.Revision)
}
