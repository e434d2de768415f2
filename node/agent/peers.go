package agent

import (
	"context"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/node/eventlog"
)

// runPeers carries out calls of peers.
func (a *Agents) runPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-a.peers:
			a.callPeer(ctx, command)
		}
	}
}

func (a *Agents) callPeer(ctx context.Context, command control.Command) {
	switch c := command.(type) {
	case control.SendDigest:
		for _, target := range c.Targets {
			a.exchangeDigest(ctx, target, c)
		}
	case control.FetchConfig:
		a.fetchConfig(ctx, c.Target)
	}
}

func (a *Agents) exchangeDigest(ctx context.Context, target control.PeerTarget, c control.SendDigest) {
	asked := time.Now()
	digest, err := a.options.Peers.Digest(ctx, target.Address, c.Digest)
	if err != nil {
		a.peerFailed(target, err)
		return
	}
	a.tell(control.PeerDigest{Digest: digest, AskedAt: asked, Target: target.Node})
}

func (a *Agents) fetchConfig(ctx context.Context, target control.PeerTarget) {
	asked := time.Now()
	current, err := a.options.Peers.Config(ctx, target.Address)
	if err != nil {
		a.peerFailed(target, err)
		return
	}
	a.seen(current, false, asked)
}

func (a *Agents) peerFailed(target control.PeerTarget, err *code.Error) {
	eventlog.Write(a.options.Logger, event.PeerFailed, err, "peer", target.Node, "code", int(err.Code))
}

// runWork tells peers the prompt work of this node. A message that fails is not
// repeated, because the next one replaces it.
func (a *Agents) runWork(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-a.work:
			target := command.Targets[0]
			if err := a.options.Peers.Work(ctx, target.Address, command.Node, command.Work); err != nil {
				a.peerFailed(target, err)
			}
		}
	}
}
