package orders

import (
	"context"
	"strconv"
	"strings"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/node/clock"
	"tanagerspread/node/eventlog"
)

const (
	// PrefixMarks is the prefix of the keys that mark recently named weights.
	PrefixMarks = "weights/named/"
	// maxMarkDelay bounds the time until the lease of a mark is granted. A later one
	// would outlast the time for which calls may be sent to older weights.
	maxMarkDelay = 300 * time.Millisecond
)

// handleMarkNamed creates the mark of a version, which ends with its lease. Without it,
// nodes that start meanwhile send nothing to older weights.
func (w *Workers) handleMarkNamed(ctx context.Context, command control.MarkNamed) {
	if err := w.markNamed(ctx, command); err != nil && err.Code != code.CompareFailed {
		eventlog.Write(w.options.Logger, event.ServiceCallFailed, err, "call", "mark named weights", "code", int(err.Code))
	}
}

// markNamed returns code.CompareFailed when the version is marked already.
func (w *Workers) markNamed(ctx context.Context, command control.MarkNamed) *code.Error {
	started, startInstant := time.Now(), clock.Now()
	grantContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := w.options.Service.Grant(grantContext, command.TTL)
	if err != nil {
		return err
	}
	if time.Since(started)+startInstant.Suspended() > maxMarkDelay {
		return code.New(code.KeyValueAway, "the lease of the mark was granted too late")
	}
	_, err = w.putKey(ctx, kv.Write{Key: MarkKey(command.Model, command.Weights), Value: []byte(command.Model), Expected: kv.Absent, Lease: lease})
	return err
}

// MarkKey returns the key of the mark of a version.
func MarkKey(model string, weights int) string {
	return PrefixMarks + model + "/" + strconv.Itoa(weights)
}

// MarkedWeights returns the version of a mark from its key, or false when the key is not
// that of a mark. The key of a mark that has ended has no value.
func MarkedWeights(key string) (control.RecentlyNamed, bool) {
	name, found := strings.CutPrefix(key, PrefixMarks)
	separator := strings.LastIndexByte(name, '/')
	if !found || separator < 0 {
		return control.RecentlyNamed{}, false
	}
	weights, err := strconv.Atoi(name[separator+1:])
	return control.RecentlyNamed{Model: name[:separator], Weights: weights}, err == nil
}
