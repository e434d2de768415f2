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
	// KeyIssuer is the key that the issuer of orders holds in the key-value
	// service.
	KeyIssuer = "orders/issuer"
	// callTimeout bounds one call of the key-value service. Two calls fit
	// within the shortest timeout of the issuer's chart.
	callTimeout = 900 * time.Millisecond
)

// issuerRecord is the value of KeyIssuer.
type issuerRecord struct {
	Node string `json:"node"`
	// Claim is unique to each claim of each process. After a lost response it
	// shows whether the claim took effect.
	Claim string `json:"claim"`
}

func (w *Workers) newIssuerRecord(command control.IssuerCommand) issuerRecord {
	return issuerRecord{Node: command.Node, Claim: w.processID + "/" + strconv.FormatUint(command.Attempt, 10)}
}

func (w *Workers) runIssuerStep(ctx context.Context, command control.IssuerCommand) control.IssuerResult {
	switch command.Step {
	case control.IssuerRead:
		return w.readIssuerKey(ctx)
	case control.IssuerGrant:
		return w.grantLease(ctx)
	case control.IssuerClaim:
		return w.claimKey(ctx, command)
	case control.IssuerRenew:
		return w.renewLease(ctx, command)
	}
	return control.IssuerResult{Err: code.Newf(code.Internal, "unknown step %q", command.Step)}
}

func (w *Workers) readIssuerKey(ctx context.Context) control.IssuerResult {
	_, err := w.getKey(ctx)
	if err != nil && err.Code == code.KeyMissing {
		return control.IssuerResult{}
	}
	return control.IssuerResult{Held: err == nil, Err: err}
}

func (w *Workers) grantLease(ctx context.Context) control.IssuerResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := w.options.Service.Grant(ctx, w.options.LeaseTime)
	return control.IssuerResult{Lease: string(lease), Err: err}
}

// claimKey creates the key. When the response is lost or the key exists, it
// reads the key to find out whether this claim holds it.
func (w *Workers) claimKey(ctx context.Context, command control.IssuerCommand) control.IssuerResult {
	ownRecord := w.newIssuerRecord(command)
	data, encodeErr := json.Marshal(ownRecord)
	if encodeErr != nil {
		return control.IssuerResult{Err: code.Wrap(code.Internal, "the claim cannot be encoded", encodeErr)}
	}
	revision, err := w.putKey(ctx, kv.Write{Key: KeyIssuer, Value: data, Expected: kv.Absent, Lease: kv.LeaseID(command.Lease)})
	if err == nil {
		return control.IssuerResult{Revision: uint64(revision)}
	}
	if err.Code != code.KeyValueAway && err.Code != code.CompareFailed {
		return control.IssuerResult{Err: err}
	}
	entry, err := w.getKey(ctx)
	if err != nil {
		return control.IssuerResult{Err: err}
	}
	if !holdsRecord(entry, ownRecord) {
		return control.IssuerResult{Held: true}
	}
	if entry.Lease != kv.LeaseID(command.Lease) {
		return w.dropClaim(ctx, entry)
	}
	return control.IssuerResult{Revision: uint64(entry.Revision)}
}

// dropClaim deletes a key that this claim created under another lease than its own: the
// service came back from a copy in between and has assigned the number of the lease again.
func (w *Workers) dropClaim(ctx context.Context, entry kv.Entry) control.IssuerResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A failed deletion leaves the key for as long as the other lease lasts.
	_ = w.options.Service.Delete(ctx, KeyIssuer, entry.Revision)
	return control.IssuerResult{Err: code.New(code.LeaseLapsed, "the key of the issuer has the lease of another node")}
}

// renewLease extends the lease and checks that the key still belongs to this
// claim. A service that was restored from an older copy may have the lease but
// not the key.
func (w *Workers) renewLease(ctx context.Context, command control.IssuerCommand) control.IssuerResult {
	if err := w.extendLease(ctx, command); err != nil {
		return control.IssuerResult{Err: err}
	}
	entry, err := w.getKey(ctx)
	missing := err != nil && err.Code == code.KeyMissing
	if missing || (err == nil && !holdsRecord(entry, w.newIssuerRecord(command))) {
		return control.IssuerResult{Err: code.New(code.LeaseLapsed, "the key of the issuer does not belong to this claim")}
	}
	return control.IssuerResult{Err: err}
}

// holdsRecord returns whether the entry contains the record.
func holdsRecord(entry kv.Entry, record issuerRecord) bool {
	var stored issuerRecord
	return json.Unmarshal(entry.Value, &stored) == nil && stored == record
}

func (w *Workers) getKey(ctx context.Context) (kv.Entry, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.options.Service.Get(ctx, KeyIssuer)
}

func (w *Workers) putKey(ctx context.Context, write kv.Write) (kv.Revision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.options.Service.Put(ctx, write)
}

func (w *Workers) extendLease(ctx context.Context, command control.IssuerCommand) *code.Error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.options.Service.Renew(ctx, kv.LeaseID(command.Lease))
}

// IssuerNode returns the node in an entry of KeyIssuer, or an empty string when
// the entry cannot be decoded.
func IssuerNode(entry kv.Entry) string {
	var stored issuerRecord
	if json.Unmarshal(entry.Value, &stored) != nil {
		return ""
	}
	return stored.Node
}
