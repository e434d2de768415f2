package orders

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
)

const (
	// KeyIssuer is the key of the issuer.
	KeyIssuer = "orders/issuer"
	// callTimeout bounds one call of the key-value service. Two calls fit
	// into the shortest timeout of the issuer's chart.
	callTimeout = 900 * time.Millisecond
)

// holder is the value of KeyIssuer.
type holder struct {
	Node string `json:"node"`
	// Claim is different for each attempt of each process. It decides whether
	// a claim whose response was lost took effect.
	Claim string `json:"claim"`
}

func (w *Workers) holder(command control.IssuerCommand) holder {
	return holder{Node: command.Node, Claim: w.process + "/" + strconv.FormatUint(command.Attempt, 10)}
}

func (w *Workers) call(ctx context.Context, command control.IssuerCommand) control.IssuerResult {
	switch command.Step {
	case control.IssuerRead:
		return w.look(ctx)
	case control.IssuerGrant:
		return w.grant(ctx)
	case control.IssuerClaim:
		return w.claim(ctx, command)
	case control.IssuerRenew:
		return w.renew(ctx, command)
	}
	return control.IssuerResult{Err: code.Newf(code.Internal, "unknown step %q", command.Step)}
}

func (w *Workers) look(ctx context.Context) control.IssuerResult {
	_, err := w.get(ctx)
	if err != nil && err.Code == code.KeyMissing {
		return control.IssuerResult{}
	}
	return control.IssuerResult{Held: err == nil, Err: err}
}

func (w *Workers) grant(ctx context.Context) control.IssuerResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := w.options.Service.Grant(ctx, w.options.LeaseTime)
	return control.IssuerResult{Lease: string(lease), Err: err}
}

// claim creates the key. After a lost response the key tells who holds it.
func (w *Workers) claim(ctx context.Context, command control.IssuerCommand) control.IssuerResult {
	mine := w.holder(command)
	data, encodeErr := json.Marshal(mine)
	if encodeErr != nil {
		return control.IssuerResult{Err: code.Wrap(code.Internal, "the claim cannot be encoded", encodeErr)}
	}
	revision, err := w.put(ctx, kv.Write{Key: KeyIssuer, Value: data, Expected: kv.Absent, Lease: kv.LeaseID(command.Lease)})
	if err == nil {
		return control.IssuerResult{Revision: uint64(revision)}
	}
	if err.Code != code.KeyValueAway && err.Code != code.CompareFailed {
		return control.IssuerResult{Err: err}
	}
	entry, err := w.get(ctx)
	if err != nil {
		return control.IssuerResult{Err: err}
	}
	if !holds(entry, mine) {
		return control.IssuerResult{Held: true}
	}
	return control.IssuerResult{Revision: uint64(entry.Revision)}
}

// renew extends the lease and checks that the key is still there, since a
// service that was restored from an older copy may know the lease but not the
// key.
func (w *Workers) renew(ctx context.Context, command control.IssuerCommand) control.IssuerResult {
	if err := w.extend(ctx, command); err != nil {
		return control.IssuerResult{Err: err}
	}
	entry, err := w.get(ctx)
	missing := err != nil && err.Code == code.KeyMissing
	if missing || (err == nil && !holds(entry, w.holder(command))) {
		return control.IssuerResult{Err: code.New(code.LeaseLapsed, "the key of the issuer is not held by this claim")}
	}
	return control.IssuerResult{Err: err}
}

func holds(entry kv.Entry, mine holder) bool {
	var found holder
	return json.Unmarshal(entry.Value, &found) == nil && found == mine
}

func (w *Workers) get(ctx context.Context) (kv.Entry, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.options.Service.Get(ctx, KeyIssuer)
}

func (w *Workers) put(ctx context.Context, write kv.Write) (kv.Revision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.options.Service.Put(ctx, write)
}

func (w *Workers) extend(ctx context.Context, command control.IssuerCommand) *code.Error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.options.Service.Renew(ctx, kv.LeaseID(command.Lease))
}

// HolderOf returns the node that an entry of KeyIssuer names, or an empty text.
func HolderOf(entry kv.Entry) string {
	var found holder
	if json.Unmarshal(entry.Value, &found) != nil {
		return ""
	}
	return found.Node
}
