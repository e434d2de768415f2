package fleet

import (
	"time"

	"tanagerspread/chart"
)

const (
	// defaultLinkRate is the assumed speed of a block store's link in bytes per
	// second before any transfer was measured.
	defaultLinkRate = 1 << 30
	// defaultBlockBytes is the assumed size of a cache block in bytes before
	// any transfer was measured.
	defaultBlockBytes = 64 << 20
	// defaultHitRatio is the assumed share of the planned blocks that a block
	// store has, before any transfer was measured.
	defaultHitRatio = 0.5
	// smoothingFactor is the weight of a new measurement in a smoothed estimate.
	smoothingFactor = 0.2
	// minHitRatio is the lower bound of the estimated hit ratio. It keeps a store
	// that missed often in use for imports, so that its ratio is measured again.
	minHitRatio = 0.05
)

// Store is one block store of KV cache as this node sees it.
type Store struct {
	ID      ServerID
	Address string
	Domain  Domain
	// LinkRate is the estimated speed of the store's link in bytes per second.
	LinkRate float64
	// PendingBytes is the size of the planned transfers that are not finished.
	PendingBytes int64
	// BlockBytes is the estimated size of a cache block in bytes.
	BlockBytes float64
	// HitRatio is the estimated share of the planned blocks that the store has.
	HitRatio float64
	// link measures the speed of the link.
	link linkMeter
	// measured is true once BlockBytes has been measured.
	measured bool
	// LeavingByList is true while the VM list shows the VM as leaving.
	LeavingByList bool
	Chart         chart.Instance
}

// Transfer is the measured result of an import or export.
type Transfer struct {
	// Planned is the number of blocks that were requested, 0 for an export; Found
	// is the number of those that the store has.
	Planned int
	Found   int
	// Moved is the number of blocks that crossed the link, Bytes their total size.
	Moved int
	Bytes int64
}

// NewStore returns a store with the assumed estimates.
func NewStore(id ServerID) *Store {
	return &Store{ID: id, LinkRate: defaultLinkRate, BlockBytes: defaultBlockBytes, HitRatio: defaultHitRatio}
}

// ObserveTransfer updates the hit ratio and the block size with a measured
// transfer.
func (s *Store) ObserveTransfer(t Transfer) {
	if t.Planned > 0 {
		s.HitRatio = max(smooth(s.HitRatio, float64(t.Found)/float64(t.Planned)), minHitRatio)
	}
	if t.Moved > 0 && t.Bytes > 0 {
		s.observeBlockBytes(float64(t.Bytes) / float64(t.Moved))
	}
}

// observeBlockBytes updates the estimated block size. The first measurement
// replaces the assumed size.
func (s *Store) observeBlockBytes(blockBytes float64) {
	if !s.measured {
		s.measured = true
		s.BlockBytes = blockBytes
		return
	}
	s.BlockBytes = smooth(s.BlockBytes, blockBytes)
}

// StartTransfer records that this node starts a transfer on the link.
func (s *Store) StartTransfer(now time.Time) {
	s.link.start(now)
}

// FinishTransfer records that a transfer has moved the given number of bytes, and
// updates LinkRate when a measurement is complete.
func (s *Store) FinishTransfer(now time.Time, bytes int64) {
	if rate, measured := s.link.finish(now, bytes); measured {
		s.LinkRate = rate
	}
}

// TransferTime estimates the time until the bytes are transferred, after the
// transfers that are already planned.
func (s *Store) TransferTime(bytes float64) time.Duration {
	return time.Duration((float64(s.PendingBytes) + bytes) / s.LinkRate * float64(time.Second))
}

// Readable reports whether blocks may be imported from the store.
func (s *Store) Readable() bool {
	return s.Chart.Is(TagReadable)
}

// Writable reports whether blocks may be exported to the store.
func (s *Store) Writable() bool {
	return s.Chart.Is(TagWritable)
}

func smooth(old, measured float64) float64 {
	return old + (measured-old)*smoothingFactor
}
