package mirror

import (
	"context"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
)

// Service is a key-value service whose lists and watches are served by the
// mirror. All other calls go to the service itself.
type Service struct {
	kv.Service
	Mirror *Mirror
	// MirroredKey is the key that Get reads from the mirror: that of the
	// configuration.
	MirroredKey string
}

var _ kv.Service = Service{}

// Get returns an entry of the service, or of the mirror for MirroredKey.
func (s Service) Get(ctx context.Context, key string) (kv.Entry, *code.Error) {
	if key == s.MirroredKey {
		return s.Mirror.Get(ctx, key)
	}
	return s.Service.Get(ctx, key)
}

// List returns the entries of the mirror.
func (s Service) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, *code.Error) {
	return s.Mirror.List(ctx, prefix)
}

// Watch returns the changes of the mirror after a revision. It waits up to
// kv.WatchWait for a change.
func (s Service) Watch(ctx context.Context, prefix string, after kv.Revision) ([]kv.Change, kv.Revision, *code.Error) {
	return s.Mirror.Watch(ctx, prefix, after, kv.WatchWait)
}
