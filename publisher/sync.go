package publisher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lovagebank/configurer"
	"lovagebank/sleeper"
	"lovagebank/storer"
	"lovagebank/wire"
)

// loadInitial tries the store and then peers, repeatedly, until a configuration is in force. The time limit of the store
// doubles with each attempt, up to loadTimeout.
func (pu *Publisher) loadInitial(ctx context.Context) {
	for timeout := startTimeout; pu.current.Load() == nil && ctx.Err() == nil; timeout = min(2*timeout, loadTimeout) {
		pu.loadOrFetch(ctx, timeout)
		if pu.current.Load() != nil || !sleeper.For(ctx, retryWait/2+rand.N(retryWait)) {
			return
		}
	}
}

// loadOrFetch loads the configuration from the store within timeout or, if that fails, fetches it from peers.
func (pu *Publisher) loadOrFetch(ctx context.Context, timeout time.Duration) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	_, ve, err := pu.load(bounded)
	cancel()
	if ve != nil {
		return
	}
	if err != nil {
		pu.options.Logger.Warn("initial load from the store failed", "error", err.Error())
	}
	peers := pu.options.Peers()
	for _, at := range rand.Perm(len(peers)) {
		if err := pu.fetch(ctx, peers[at]); err == nil && pu.current.Load() != nil {
			return
		}
	}
}

// watch follows changes of the manifest in the store while this instance is one of those that watch it.
func (pu *Publisher) watch(ctx context.Context) {
	index := uint64(0)
	for ctx.Err() == nil {
		if !pu.options.WatchesStore() {
			index = 0
			sleeper.For(ctx, retryWait)
			continue
		}
		ls, err := pu.options.Watch(ctx, manifestKey, index, watchWait)
		if err == nil {
			index = ls.Index()
			err = pu.applyListing(ctx, ls)
		}
		if err != nil && ctx.Err() == nil {
			index = 0
			pu.options.Logger.Debug("watch failed", "error", err.Error())
			sleeper.For(ctx, watchRetryWait/2+rand.N(watchRetryWait))
		}
	}
}

// applyListing puts a watched manifest in force if it is newer than the configuration in force. If it is older or
// absent, the store is repaired.
func (pu *Publisher) applyListing(ctx context.Context, ls storer.Listing) error {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if len(ls.Entries()) == 0 {
		return pu.repairStore(bounded)
	}
	sd, err := decodeManifest(ls.Entries()[0])
	if err != nil {
		return err
	}
	if sd.manifest.Revision < pu.Revision() {
		return pu.repairStore(bounded)
	}
	_, err = pu.applyManifest(bounded, sd.manifest)
	return err
}

// ObserveRevision records the revision of the peer at the given address and schedules a fetch if it is newer than the one in
// force. It does not block.
func (pu *Publisher) ObserveRevision(peer string, revision uint64) {
	storeMax(&pu.highestSeen, revision)
	if revision <= pu.Revision() {
		return
	}
	select {
	case pu.observed <- peerRevision{peer: peer, revision: revision}:
	default:
	}
}

// fetchObserved fetches newer revisions from the peers that have them.
func (pu *Publisher) fetchObserved(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case si := <-pu.observed:
			if si.revision <= pu.Revision() {
				continue
			}
			if err := pu.fetch(ctx, si.peer); err != nil {
				pu.options.Logger.Debug("fetch from peer failed", "peer", si.peer, "error", err.Error())
			}
		}
	}
}

// fetch requests the changes since the revision in force from a peer and puts them in force.
func (pu *Publisher) fetch(ctx context.Context, peer string) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	current := pu.current.Load()
	rs, err := pu.options.Fetch(bounded, peer, &wire.FetchRequest{HaveRevision: current.revision()})
	if err != nil {
		return oops.In("publisher").Wrapf(err, "fetch from %s", peer)
	}
	if rs.GetManifest().GetRevision() <= current.revision() {
		return nil
	}
	do, ok := applyPatches(current, rs.Manifest)
	if !ok {
		if do, err = decodeDocuments(current, rs); err != nil {
			return err
		}
	}
	ve, err := newVersion(current, rs.Manifest, do)
	if err != nil {
		return oops.In("publisher").Wrapf(err, "check revision %d from %s", rs.Manifest.Revision, peer)
	}
	pu.adopt(ve)
	return nil
}

// decodeDocuments returns the documents of a peer's response. A document without content in the response must be
// unchanged from the version in force.
func decodeDocuments(current *version, rs *wire.FetchResponse) (configurer.Documents, error) {
	var do configurer.Documents
	for _, dv := range rs.Manifest.Documents {
		if old := current.unchangedText(dv); old != nil {
			do = do.With(dv.Name, *old)
			continue
		}
		sent := findDocument(rs, dv.Name)
		if sent == nil {
			return do, oops.In("publisher").Errorf("the peer's response lacks document %s", dv.Name)
		}
		text, err := decompress(sent.Content, dv.TextHash)
		if err != nil {
			return do, err
		}
		do = do.With(dv.Name, text)
	}
	return do, nil
}

func findDocument(rs *wire.FetchResponse, name string) *wire.Document {
	for _, dc := range rs.Documents {
		if dc.Name == name {
			return dc
		}
	}
	return nil
}

// ServeFetch responds to a peer's fetch with patches if they go back to the peer's revision, and otherwise with the complete
// documents that changed. It returns ErrNotReady before a configuration is in force.
func (pu *Publisher) ServeFetch(rq *wire.FetchRequest) (*wire.FetchResponse, error) {
	ve := pu.current.Load()
	if ve == nil {
		return nil, ErrNotReady
	}
	ma := proto.CloneOf(ve.manifest)
	// Proposals read the marks from the store's manifest, so peers do not need them.
	ma.Recent = nil
	if rq.HaveRevision >= ma.Revision {
		return &wire.FetchResponse{Manifest: &wire.Manifest{Revision: ma.Revision}}, nil
	}
	if rq.HaveRevision != 0 && rq.HaveRevision >= ma.PatchesFrom {
		ma.PatchesFrom = rq.HaveRevision
		ma.Patches = patchesAfter(ma.Patches, rq.HaveRevision)
		return &wire.FetchResponse{Manifest: ma}, nil
	}
	pu.compressMu.Lock()
	defer pu.compressMu.Unlock()
	ma.Patches, ma.PatchesFrom = nil, ma.Revision
	rs := &wire.FetchResponse{Manifest: ma}
	for _, dv := range ma.Documents {
		if dv.Revision <= rq.HaveRevision {
			continue
		}
		text, _ := ve.documents.Text(dv.Name)
		compressed, err := compress(text)
		if err != nil {
			return nil, err
		}
		rs.Documents = append(rs.Documents, &wire.Document{Name: dv.Name, Revision: dv.Revision, Content: compressed})
	}
	return rs, nil
}

func patchesAfter(patches []*wire.Patch, revision uint64) []*wire.Patch {
	for at, pt := range patches {
		if pt.Revision > revision {
			return patches[at:]
		}
	}
	return nil
}
