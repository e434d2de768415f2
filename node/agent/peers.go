package agent

import (
	"context"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/node/eventlog"
)

// runPeerCommands executes commands that call peers.
func (a *Agents) runPeerCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-a.peerCommands:
			a.runPeerCommand(ctx, command)
		}
	}
}

func (a *Agents) runPeerCommand(ctx context.Context, command control.Command) {
	switch c := command.(type) {
	case control.SendDigest:
		for _, target := range c.Targets {
			a.exchangeDigest(ctx, target, c)
		}
	case control.FetchConfig:
		a.fetchConfig(ctx, c.Target)
	}
}

// exchangeDigest sends a digest to a peer and reports the digest that the peer
// returns.
func (a *Agents) exchangeDigest(ctx context.Context, target control.PeerTarget, command control.SendDigest) {
	askedAt := time.Now()
	digest, err := a.options.Peers.Digest(ctx, target.Address, command.Digest)
	if err != nil {
		a.logPeerFailure(target, err)
		return
	}
	a.tell(control.PeerDigest{Digest: digest, AskedAt: askedAt, Target: target.Node})
}

func (a *Agents) fetchConfig(ctx context.Context, target control.PeerTarget) {
	askedAt := time.Now()
	answer, err := a.options.Peers.Config(ctx, target.Address)
	if err != nil {
		a.logPeerFailure(target, err)
		return
	}
	a.reportConfig(control.ConfigSeen{Current: answer.Current, Isolation: answer.Isolation, AskedAt: askedAt})
}

func (a *Agents) logPeerFailure(target control.PeerTarget, err *code.Error) {
	eventlog.Write(a.options.Logger, event.PeerFailed, err, "peer", target.Node, "code", int(err.Code))
}

// runWorkCommands sends the prefill work of this node to peers. A failed message
// is not repeated, because the next one replaces it.
func (a *Agents) runWorkCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-a.workCommands:
			target := command.Targets[0]
			if err := a.options.Peers.Work(ctx, target.Address, command); err != nil {
				a.logPeerFailure(target, err)
			}
		}
	}
}
