package control

import (
	"strconv"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/kvcache"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
)

const (
	// exportShare is the part of a store's link that all nodes together use
	// for exports, so that imports, which a caller waits for, find room.
	exportShare = 0.25
	// minImportTime and maxImportTime bound an import. Between them it may
	// take as long as the engine would need to compute the blocks.
	minImportTime = time.Second
	maxImportTime = 10 * time.Second
	// mebibyte is the unit of the link price in bytes.
	mebibyte = 1 << 20
)

// transfer is one import or export of cache blocks.
type transfer struct {
	position chart.Instance
	store    *fleet.Store
	keys     []cachekey.Key
	// blocks are the usable blocks that were found or written.
	blocks []kvcache.Block
	// whole is true when the blocks are exactly the wanted ones.
	whole bool
}

func (s *State) loadTransferCharts() error {
	verified := map[string]func(*transfer, time.Time) bool{
		"blocks_verified": func(t *transfer, _ time.Time) bool { return t.whole },
	}
	var err error
	s.charts.blockImport, err = load(s.options.Charts, "block-import", chart.Bindings[*transfer]{Guards: verified, Tags: blockImportTags})
	if err != nil {
		return err
	}
	s.charts.blockExport, err = load(s.options.Charts, "block-export", chart.Bindings[*transfer]{
		Guards: verified,
		Tags:   blockExportTags,
		Actions: map[string]func(*transfer, time.Time){
			"remember_export": func(t *transfer, now time.Time) { s.exports.RecordExported(now, t.keys) },
		},
	})
	return err
}

// beginImport prepares the import of an attempt whose placement plans one.
func (s *State) beginImport(a *active, now time.Time) {
	if a.attempt.choice.Plan == nil || a.attempt.store == nil {
		return
	}
	a.attempt.importing = &transfer{
		position: s.charts.blockImport.Start(now),
		store:    a.attempt.store,
		keys:     a.prefix,
	}
	s.holdLink(now, a.attempt)
}

// importFound decides which of the found blocks an engine may read.
func (s *State) importFound(now time.Time, m ImportFound) {
	a, ok := s.current(m.Request, m.Attempt)
	if !ok || a.attempt.importing == nil {
		s.refuse(m.Request, code.BlockInvalid, "the import has ended")
		return
	}
	t := a.attempt.importing
	t.blocks = kvcache.Usable(t.keys, m.Blocks)
	t.whole = len(t.blocks) > 0 && s.importPays(now, a, t)
	s.fireImport(t, "found", now)
	if !t.position.Is(tagMayTransfer) {
		s.refuse(m.Request, code.BlockInvalid, "no found block may be imported")
		return
	}
	for i, block := range t.blocks {
		s.options.Checker.Check(block.Key == a.prefix[i], invariant.VerifiedBlocksOnly, "request %s: block %d", a.ID, i)
	}
	s.reply(a.ID, ImportBlocks{Blocks: t.blocks})
}

// importPays reports whether a transfer of the found blocks is faster than
// computing them, with the price of the link bytes added. A transfer that ends
// while the server still works on earlier prompts delays nothing.
func (s *State) importPays(now time.Time, a *active, t *transfer) bool {
	bytes := int64(0)
	for _, block := range t.blocks {
		bytes += int64(block.Length)
	}
	s.correctLink(a.attempt, bytes)
	queue := a.attempt.server.QueueTime(now) - a.attempt.server.Speed.Time(float64(a.attempt.prefill))
	delay := max(t.store.TransferTime(0)-queue, 0)
	price := time.Duration(float64(bytes) / mebibyte * float64(s.rules.Policy.LinkPrice))
	return delay+price < a.attempt.server.Speed.Time(float64(len(t.blocks)*cachekey.BlockTokens))
}

// importDone corrects the estimates of the store. A failed import only means
// that the engine computes the prompt.
func (s *State) importDone(now time.Time, m ImportDone) {
	a, ok := s.current(m.Request, m.Attempt)
	if !ok || a.attempt.importing == nil {
		return
	}
	t := a.attempt.importing
	a.attempt.importing = nil
	s.releaseLink(now, a.attempt, m.Bytes)
	if m.Failed {
		s.fireImport(t, "fail", now)
		s.exports.RecordMissing(t.keys)
	} else {
		s.fireImport(t, "transferred", now)
	}
	s.storeReport(now, StoreReport{
		Store:    t.store.ID,
		Transfer: fleet.Transfer{Planned: len(t.keys), Found: len(t.blocks), Moved: m.Moved, Bytes: m.Bytes},
		Failed:   m.StoreFailed,
	})
}

// importTime bounds the import of an attempt by the time that the engine
// would need to compute the prompt.
func importTime(speed *fleet.Speed, promptTokens int) time.Duration {
	return min(max(speed.Time(float64(promptTokens)), minImportTime), maxImportTime)
}

// considerExport commands the export of a delivered prompt's blocks when a
// store lacks them and the link budget allows it.
func (s *State) considerExport(now time.Time, a *active, server *fleet.Server) {
	keys := s.exports.Unexported(now, a.prefix)
	if len(keys) < max(1, s.rules.Policy.ExportMinBlocks) || !server.ReceivesWork() {
		return
	}
	store := placement.ExportStore(placement.Checkpoint(a.prefix), s.storeList)
	if store == nil {
		return
	}
	budget := store.LinkRate * exportShare / float64(s.sharingNodes())
	if !s.exports.Start(now, string(store.ID), budget, int(float64(len(keys))*store.BlockBytes)) {
		return
	}
	id := s.exportID()
	store.StartTransfer(now)
	s.transfers[id] = &transfer{position: s.charts.blockExport.Start(now), store: store, keys: keys}
	s.command(ExportBlocks{
		ID:            id,
		EngineAddress: server.Address,
		StoreAddress:  store.Address,
		Namespace:     cachekey.Root(a.scope),
		Keys:          keys,
		Generation:    uint64(now.UnixNano()),
	})
}

func (s *State) exportID() request.ID {
	s.exportCount++
	return request.ID(s.options.Node + "/export/" + strconv.FormatUint(s.exportCount, 10))
}

// exportWritten decides whether the manifest of an export may be written.
func (s *State) exportWritten(now time.Time, m ExportWritten) {
	t, known := s.transfers[m.ID]
	if !known {
		s.refuse(m.ID, code.BlockInvalid, "the export has ended")
		return
	}
	t.blocks = m.Blocks
	t.whole = kvcache.IsComplete(t.keys, m.Blocks)
	s.fireExport(t, "written", now)
	if !t.position.Is(tagMaySeal) {
		s.endExport(now, m.ID, 0)
		s.refuse(m.ID, code.BlockInvalid, "the written blocks are not the wanted ones")
		return
	}
	s.reply(m.ID, Proceed{})
}

// exportDone ends an export.
func (s *State) exportDone(now time.Time, m ExportDone) {
	t, known := s.transfers[m.ID]
	if !known {
		return
	}
	event := chart.Event("fail")
	if m.Sealed {
		event = "sealed"
	}
	s.fireExport(t, event, now)
	s.endExport(now, m.ID, m.Bytes)
	s.storeReport(now, StoreReport{
		Store:    t.store.ID,
		Transfer: fleet.Transfer{Found: len(t.blocks), Moved: m.Moved, Bytes: m.Bytes},
		Failed:   m.StoreFailed,
		Full:     m.StoreFull,
	})
}

func (s *State) endExport(now time.Time, id request.ID, bytes int64) {
	s.transfers[id].store.FinishTransfer(now, bytes)
	delete(s.transfers, id)
	s.exports.Finish()
}

// expireTransfers ends exports that nobody reports any more.
func (s *State) expireTransfers(now time.Time) {
	for id, t := range s.transfers {
		if expired, _ := s.charts.blockExport.Expire(&t.position, t, now); expired {
			s.endExport(now, id, 0)
		}
	}
}

func (s *State) fireImport(t *transfer, event chart.Event, now time.Time) {
	// A late event of an import that has ended changes nothing.
	_ = s.charts.blockImport.Fire(&t.position, t, event, now)
}

func (s *State) fireExport(t *transfer, event chart.Event, now time.Time) {
	// A late event of an export that has ended changes nothing.
	_ = s.charts.blockExport.Fire(&t.position, t, event, now)
}

// sharingNodes returns the number of nodes that share the links of the stores:
// the entry VMs of the VM list. Each takes an equal share, so that no
// coordinator is needed.
func (s *State) sharingNodes() int {
	return max(1, len(s.members.Members()))
}
