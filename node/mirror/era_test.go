package mirror_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/node/mirror"
)

func entryIn(era kv.Era, key string, number uint64) kv.Entry {
	return entryAt(key, kv.RevisionIn(era, number))
}

// TestMirrorOfRevertedService guards against a mirror that keeps entries which the
// service lost, or misses entries, because its revisions are ahead of those of the copy,
// and against entries of the earlier era that arrive late.
func TestMirrorOfRevertedService(t *testing.T) {
	m := mirror.New()
	lost := []kv.Entry{entryIn(1, "op/config", 90), entryIn(1, "servers/lost", 95)}
	copied := []kv.Entry{entryIn(2, "op/config", 50), entryIn(2, "servers/back", 40)}
	if err := m.Replace(lost, kv.RevisionIn(1, 100)); err != nil {
		t.Fatal(err)
	}
	_, at, _ := m.List(t.Context(), "")
	if err := m.Apply([]kv.Change{{Entry: entryIn(2, "servers/new", 101)}}, kv.RevisionIn(2, 101)); err == nil || err.Code != code.HistoryGone {
		t.Errorf("changes of a later era continue the entries: %v", err)
	}
	if err := m.Replace(copied, kv.RevisionIn(2, 60)); err != nil {
		t.Fatal(err)
	}
	if err := m.Replace(lost, kv.RevisionIn(1, 100)); err == nil {
		t.Error("a list of the earlier era is accepted")
	}
	if err := m.Apply([]kv.Change{{Entry: lost[1]}}, kv.RevisionIn(1, 101)); err == nil {
		t.Error("changes of the earlier era are accepted")
	}
	entries, _, err := m.List(t.Context(), "")
	if err != nil || len(entries) != 2 || m.EntryRevision("op/config") != copied[0].Revision || m.RecoveredAt().IsZero() {
		t.Errorf("entries %v, error %v, want those of the copy", entries, err)
	}
	if changes, _, err := m.Watch(t.Context(), "", at, 0); err != nil || len(changes) != 3 {
		t.Errorf("a watcher got %v, error %v, want two entries and a deletion", keysOf(changes), err)
	}
	if !m.FromCopy(copied[0].Revision) || m.FromCopy(kv.RevisionIn(2, 61)) {
		t.Error("entries of the copy and later ones are not distinguished")
	}
}

// TestCopyBetweenEras guards against a copy that keeps what the peer never had, because
// it gets changes across a return of the service.
func TestCopyBetweenEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := mirror.New()
		replace := func(at kv.Revision) {
			if err := peer.Replace([]kv.Entry{{Key: "op/config", Revision: at}}, at); err != nil {
				t.Fatal(err)
			}
		}
		replace(kv.RevisionIn(1, 100))
		go func() {
			time.Sleep(time.Second)
			replace(kv.RevisionIn(2, 60))
		}()
		for range 2 { // the second call begins after the return
			if _, at, snapshot, err := peer.Copy(t.Context(), kv.RevisionIn(1, 100), 2*time.Second); err != nil || !snapshot || at != kv.RevisionIn(2, 60) {
				t.Errorf("snapshot %t at %d, error %v", snapshot, at, err)
			}
		}
		if _, _, _, err := peer.Copy(t.Context(), kv.RevisionIn(3, 1), time.Second); err == nil {
			t.Error("a copy of a later era continues from this one")
		}
	})
}

// revertedService is a service that has come back from a copy.
type revertedService struct {
	lateWatch
}

func (s *revertedService) List(context.Context, string) ([]kv.Entry, kv.Revision, *code.Error) {
	return []kv.Entry{entryIn(2, "op/config", 50)}, kv.RevisionIn(2, 60), nil
}

// oldPeer is a peer that has not seen the return.
type oldPeer struct{}

func (oldPeer) Copy(context.Context, string, kv.Revision, time.Duration) ([]kv.Change, kv.Revision, bool, *code.Error) {
	return []kv.Change{{Entry: entryIn(1, "op/config", 90)}}, kv.RevisionIn(1, 100), true, nil
}

// TestPeerOfEarlierEraLeft guards against a node that goes on copying from a peer that
// has not seen the return of the service, and follows nothing.
func TestPeerOfEarlierEraLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &revertedService{}
		follower := runFollower(t, service, oldPeer{})
		time.Sleep(time.Second)
		follower.SetSource(control.PeerTarget{Node: "n2", Address: "n2"})
		time.Sleep(time.Second)
		synctest.Wait()
		if service.watching.Load() == 0 {
			time.Sleep(200 * time.Millisecond)
		}
		if service.watching.Load() != 1 {
			t.Error("the service is not watched")
		}
	})
}
