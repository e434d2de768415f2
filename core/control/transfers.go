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
	// exportLinkShare is the share of a store's link that all nodes together use
	// for exports, so that the rest is free for imports, which delay a caller's
	// response.
	exportLinkShare = 0.25
	// minImportTime and maxImportTime bound an import. Between them it may
	// take as long as the engine would need to compute the blocks.
	minImportTime = time.Second
	maxImportTime = 10 * time.Second
	// mebibyte is the unit of the link price in bytes.
	mebibyte = 1 << 20
)

// transfer is one import or export of cache blocks.
type transfer struct {
	chart chart.Instance
	store *fleet.Store
	keys  []cachekey.Key
	// blocks are the usable blocks that were found or written.
	blocks []kvcache.Block
	// mayProceed is the value of the guard blocks_verified: for an import, some
	// found blocks are usable and cheaper to transfer than to compute; for an
	// export, the written blocks are exactly the wanted ones.
	mayProceed bool
}

func (s *State) loadTransferCharts() error {
	guards := map[string]func(*transfer, time.Time) bool{
		"blocks_verified": func(t *transfer, _ time.Time) bool { return t.mayProceed },
	}
	var err error
	s.charts.blockImport, err = loadMachine(s.options.Charts, "block-import", chart.Bindings[*transfer]{Guards: guards, Tags: blockImportTags})
	if err != nil {
		return err
	}
	s.charts.blockExport, err = loadMachine(s.options.Charts, "block-export", chart.Bindings[*transfer]{
		Guards: guards,
		Tags:   blockExportTags,
		Actions: map[string]func(*transfer, time.Time){
			"remember_export": func(t *transfer, now time.Time) { s.exports.RecordExported(now, t.keys) },
		},
	})
	return err
}

// startImport starts the import of an attempt whose placement plans one.
func (s *State) startImport(req *activeRequest, now time.Time) {
	if req.attempt.choice.Plan == nil || req.attempt.store == nil {
		return
	}
	req.attempt.blockImport = &transfer{
		chart: s.charts.blockImport.Start(now),
		store: req.attempt.store,
		keys:  req.prefix,
	}
	s.acquireLink(now, req.attempt)
}

// importFound decides which of the found blocks an engine may import.
func (s *State) importFound(now time.Time, m ImportFound) {
	req, ok := s.currentAttempt(m.Request, m.Attempt)
	if !ok || req.attempt.blockImport == nil {
		s.refuse(m.Request, code.BlockInvalid, "the import has ended")
		return
	}
	t := req.attempt.blockImport
	t.blocks = kvcache.Usable(t.keys, m.Blocks)
	t.mayProceed = len(t.blocks) > 0 && s.importCheaper(now, req, t)
	s.fireImportEvent(t, "found", now)
	if !t.chart.Is(tagMayTransfer) {
		s.refuse(m.Request, code.BlockInvalid, "no found block may be imported")
		return
	}
	for i, block := range t.blocks {
		s.options.Checker.Check(block.Key == req.prefix[i], invariant.VerifiedBlocksOnly, "request %s: block %d", req.ID, i)
	}
	s.reply(req.ID, ImportBlocks{Blocks: t.blocks})
}

// importCheaper reports whether a transfer of the found blocks, with the price of
// the link bytes added, costs less time than computing them. A transfer that
// finishes while the server still works on earlier prompts causes no delay. The
// queue time of the server includes the prefill of this attempt, which is
// therefore subtracted. TransferTime gets no further bytes, because the bytes of
// this import are already in the store's PendingBytes.
func (s *State) importCheaper(now time.Time, req *activeRequest, t *transfer) bool {
	bytes := int64(0)
	for _, block := range t.blocks {
		bytes += int64(block.Length)
	}
	s.correctPendingBytes(req.attempt, bytes)
	queueTime := req.attempt.server.QueueTime(now) - req.attempt.server.Speed.Time(float64(req.attempt.prefillTokens))
	delay := max(t.store.TransferTime(0)-queueTime, 0)
	price := time.Duration(float64(bytes) / mebibyte * float64(s.rules.Policy.LinkPrice))
	return delay+price < req.attempt.server.Speed.Time(float64(len(t.blocks)*cachekey.BlockTokens))
}

// importDone finishes an import and updates the estimates of the store. After a
// failed import the engine computes the prompt.
func (s *State) importDone(now time.Time, m ImportDone) {
	req, ok := s.currentAttempt(m.Request, m.Attempt)
	if !ok || req.attempt.blockImport == nil {
		return
	}
	t := req.attempt.blockImport
	req.attempt.blockImport = nil
	s.releaseLink(now, req.attempt, m.MovedBytes)
	if m.Failed {
		s.fireImportEvent(t, "fail", now)
		s.exports.RecordMissing(t.keys)
	} else {
		s.fireImportEvent(t, "transferred", now)
	}
	s.storeReport(now, StoreReport{
		Store:       t.store.ID,
		Transfer:    fleet.Transfer{Planned: len(t.keys), Found: len(t.blocks), Moved: m.MovedBlocks, Bytes: m.MovedBytes},
		Unreachable: m.StoreUnreachable,
	})
}

// importTimeout returns the timeout of an import: the time that the engine would
// need to compute the prompt, between minImportTime and maxImportTime.
func importTimeout(speed *fleet.Speed, promptTokens int) time.Duration {
	return min(max(speed.Time(float64(promptTokens)), minImportTime), maxImportTime)
}

// considerExport starts the export of a delivered prompt's blocks when they are
// not recorded as exported and the link budget allows it.
func (s *State) considerExport(now time.Time, req *activeRequest, server *fleet.Server) {
	keys := s.exports.Unexported(now, req.prefix)
	if len(keys) < max(1, s.rules.Policy.ExportMinBlocks) || !server.ReceivesWork() {
		return
	}
	store := placement.ExportStore(placement.RoutingKey(req.prefix), s.storeList)
	if store == nil {
		return
	}
	budget := store.LinkRate * exportLinkShare / float64(s.sharingNodes())
	if !s.exports.Start(now, string(store.ID), budget, int(float64(len(keys))*store.BlockBytes)) {
		return
	}
	id := s.nextExportID()
	store.StartTransfer(now)
	s.runningExports[id] = &transfer{chart: s.charts.blockExport.Start(now), store: store, keys: keys}
	s.command(ExportBlocks{
		ID:            id,
		EngineAddress: server.Address,
		StoreAddress:  store.Address,
		Namespace:     cachekey.Root(req.scope),
		Keys:          keys,
		Generation:    uint64(now.UnixNano()),
	})
}

func (s *State) nextExportID() request.ID {
	s.exportCount++
	return request.ID(s.options.Node + "/export/" + strconv.FormatUint(s.exportCount, 10))
}

// exportWritten decides whether the manifest of an export may be written.
func (s *State) exportWritten(now time.Time, m ExportWritten) {
	t, ok := s.runningExports[m.ID]
	if !ok {
		s.refuse(m.ID, code.BlockInvalid, "the export has ended")
		return
	}
	t.blocks = m.Blocks
	t.mayProceed = kvcache.IsComplete(t.keys, m.Blocks)
	s.fireExportEvent(t, "written", now)
	if !t.chart.Is(tagMayWriteManifest) {
		s.finishExport(now, m.ID, 0)
		s.refuse(m.ID, code.BlockInvalid, "the written blocks are not the wanted ones")
		return
	}
	s.reply(m.ID, Proceed{})
}

// exportDone finishes an export and updates the estimates of the store.
func (s *State) exportDone(now time.Time, m ExportDone) {
	t, ok := s.runningExports[m.ID]
	if !ok {
		return
	}
	event := chart.Event("fail")
	if m.ManifestWritten {
		event = "sealed"
	}
	s.fireExportEvent(t, event, now)
	s.finishExport(now, m.ID, m.MovedBytes)
	s.storeReport(now, StoreReport{
		Store:       t.store.ID,
		Transfer:    fleet.Transfer{Found: len(t.blocks), Moved: m.MovedBlocks, Bytes: m.MovedBytes},
		Unreachable: m.StoreUnreachable,
		Full:        m.StoreFull,
	})
}

func (s *State) finishExport(now time.Time, id request.ID, bytes int64) {
	s.runningExports[id].store.FinishTransfer(now, bytes)
	delete(s.runningExports, id)
	s.exports.Finish()
}

// expireTransfers finishes exports whose report is overdue.
func (s *State) expireTransfers(now time.Time) {
	for id, t := range s.runningExports {
		if expired, _ := s.charts.blockExport.Expire(&t.chart, t, now); expired {
			s.finishExport(now, id, 0)
		}
	}
}

func (s *State) fireImportEvent(t *transfer, event chart.Event, now time.Time) {
	// A late event of a finished import changes nothing.
	_ = s.charts.blockImport.Fire(&t.chart, t, event, now)
}

func (s *State) fireExportEvent(t *transfer, event chart.Event, now time.Time) {
	// A late event of a finished export changes nothing.
	_ = s.charts.blockExport.Fire(&t.chart, t, event, now)
}

// sharingNodes returns the number of nodes that share the links of the stores:
// the entry VMs of the VM list. Each takes an equal share, so that no
// coordinator is needed.
func (s *State) sharingNodes() int {
	return max(1, len(s.members.Members()))
}
