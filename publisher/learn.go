package publisher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lovagebank/configurer"
	"lovagebank/pauser"
	"lovagebank/storer"
	"lovagebank/wire"
)

// start asks the store, then peers, until a configuration is in force.
func (pu *Publisher) start(ctx context.Context) {
	for wait := startTimeout; pu.current.Load() == nil && ctx.Err() == nil; wait = min(2*wait, loadTimeout) {
		pu.ask(ctx, wait)
		if pu.current.Load() != nil || !pauser.For(ctx, retryWait/2+rand.N(retryWait)) {
			return
		}
	}
}

// ask asks the store for a bounded time, and then peers.
func (pu *Publisher) ask(ctx context.Context, wait time.Duration) {
	bounded, cancel := context.WithTimeout(ctx, wait)
	_, ve, err := pu.load(bounded)
	cancel()
	if ve != nil {
		return
	}
	if err != nil {
		pu.options.Logger.Warn("Store not read at the start.", "error", err.Error())
	}
	peers := pu.options.Peers()
	for _, at := range rand.Perm(len(peers)) {
		if err := pu.fetch(ctx, peers[at]); err == nil && pu.current.Load() != nil {
			return
		}
	}
}

// watch waits for changes of the manifest while this instance is one of those that watch.
func (pu *Publisher) watch(ctx context.Context) {
	index := uint64(0)
	for ctx.Err() == nil {
		if !pu.options.WatchesStore() {
			index = 0
			pauser.For(ctx, retryWait)
			continue
		}
		ls, err := pu.options.Watch(ctx, manifestKey, index, watchWait)
		if err == nil {
			index = ls.Index()
			err = pu.take(ctx, ls)
		}
		if err != nil && ctx.Err() == nil {
			index = 0
			pu.options.Logger.Debug("Watch failed.", "error", err.Error())
			pauser.For(ctx, repeatWait/2+rand.N(repeatWait))
		}
	}
}

// take brings a watched manifest in force, if it is newer. A store that fell behind is brought up to date.
func (pu *Publisher) take(ctx context.Context, ls storer.Listing) error {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if len(ls.Entries()) == 0 {
		return pu.repair(bounded)
	}
	sd, err := decodeManifest(ls.Entries()[0])
	if err != nil {
		return err
	}
	if sd.manifest.Revision < pu.Revision() {
		return pu.repair(bounded)
	}
	_, err = pu.complete(bounded, sd.manifest)
	return err
}

// ObserveRevision tells of a revision that the peer at an address has.
func (pu *Publisher) ObserveRevision(peer string, revision uint64) {
	raise(&pu.highest, revision)
	if revision <= pu.Revision() {
		return
	}
	select {
	case pu.observed <- sighting{peer: peer, revision: revision}:
	default:
	}
}

// follow fetches from peers what they have and this instance lacks.
func (pu *Publisher) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case si := <-pu.observed:
			if si.revision <= pu.Revision() {
				continue
			}
			if err := pu.fetch(ctx, si.peer); err != nil {
				pu.options.Logger.Debug("Fetch failed.", "peer", si.peer, "error", err.Error())
			}
		}
	}
}

// fetch asks one peer for what changed.
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
	do, ok := patched(current, rs.Manifest)
	if !ok {
		if do, err = unpack(current, rs); err != nil {
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

// unpack reads the documents of a peer's answer; one that is absent must be in force unchanged.
func unpack(current *version, rs *wire.FetchResponse) (configurer.Documents, error) {
	var do configurer.Documents
	for _, dv := range rs.Manifest.Documents {
		if old := current.document(dv); old != nil {
			do = do.With(dv.Name, *old)
			continue
		}
		sent := sentDocument(rs, dv.Name)
		if sent == nil {
			return do, oops.In("publisher").Errorf("a peer's answer lacks document %s", dv.Name)
		}
		text, err := decompress(sent.Content, dv.TextHash)
		if err != nil {
			return do, err
		}
		do = do.With(dv.Name, text)
	}
	return do, nil
}

func sentDocument(rs *wire.FetchResponse, name string) *wire.Document {
	for _, dc := range rs.Documents {
		if dc.Name == name {
			return dc
		}
	}
	return nil
}

// ServeFetch answers a peer's fetch with patches where they reach, else with the whole documents that changed.
func (pu *Publisher) ServeFetch(rq *wire.FetchRequest) (*wire.FetchResponse, error) {
	ve := pu.current.Load()
	if ve == nil {
		return nil, ErrNotReady
	}
	ma := proto.CloneOf(ve.manifest)
	// Who proposes reads the store's manifest, so marks need not travel.
	ma.Recent = nil
	if rq.HaveRevision >= ma.Revision {
		return &wire.FetchResponse{Manifest: &wire.Manifest{Revision: ma.Revision}}, nil
	}
	if rq.HaveRevision != 0 && rq.HaveRevision >= ma.PatchesFrom {
		ma.PatchesFrom = rq.HaveRevision
		ma.Patches = patchesAfter(ma.Patches, rq.HaveRevision)
		return &wire.FetchResponse{Manifest: ma}, nil
	}
	pu.serving.Lock()
	defer pu.serving.Unlock()
	ma.Patches, ma.PatchesFrom = nil, ma.Revision
	rs := &wire.FetchResponse{Manifest: ma}
	for _, dv := range ma.Documents {
		if dv.Revision <= rq.HaveRevision {
			continue
		}
		text, _ := ve.documents.Text(dv.Name)
		packed, err := compress(text)
		if err != nil {
			return nil, err
		}
		rs.Documents = append(rs.Documents, &wire.Document{Name: dv.Name, Revision: dv.Revision, Content: packed})
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
