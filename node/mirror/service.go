package mirror

import (
	"context"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
)

// Service is the key-value service with lists and watches from the mirror. All
// other calls go to the service itself.
type Service struct {
	kv.Service
	Mirror *Mirror
	// MirroredKey is a key whose reads are served by the mirror as well.
	MirroredKey string
}

var _ kv.Service = Service{}

// Get returns an entry of the service, or of the mirror for the local key.
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

// Watch waits for changes of the mirror.
func (s Service) Watch(ctx context.Context, prefix string, after kv.Revision) ([]kv.Change, kv.Revision, *code.Error) {
	return s.Mirror.Watch(ctx, prefix, after, kv.WatchWait)
}
