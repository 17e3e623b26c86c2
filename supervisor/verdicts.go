package supervisor

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/quarantiner"
	"lovagebank/wire"
)

const (
	// verdictPrefix begins the keys of the verdicts on parts of prompts. They outlive the loss of all instances.
	verdictPrefix = platform.InstancePrefix + "crashing-parts/"
	// verdictSaveTimeout limits one call that saves a verdict, and verdictSaveInterval the rate of these calls.
	verdictSaveTimeout  = 600 * time.Millisecond
	verdictSaveInterval = time.Second
	// probeClaimTimeout limits the call that claims the next probe of a verdict. The request that would be the probe
	// waits for it.
	probeClaimTimeout = 200 * time.Millisecond
)

// verdictRecord is what is known of a verdict's entry in the store.
type verdictRecord struct {
	verdict quarantiner.Verdict
	// revision is the revision of the entry; 0 if there is none.
	revision int64
	// unsaved is set while the entry is to be written or, if the verdict has ended, to be deleted.
	unsaved bool
	ended   bool
	savedAt time.Time
}

// verdictRecords holds the records by the verdicts' keys.
type verdictRecords struct {
	mu      sync.Mutex
	records map[string]verdictRecord
	saving  bool
}

// set records that a verdict has begun or ended, and keeps the revision of its entry.
func (vr *verdictRecords) set(key string, record verdictRecord) {
	vr.mu.Lock()
	defer vr.mu.Unlock()
	if vr.records == nil {
		vr.records = make(map[string]verdictRecord)
	}
	if record.revision == 0 {
		record.revision = vr.records[key].revision
	}
	record.unsaved = record.unsaved && (record.ended || record.revision == 0)
	vr.records[key] = record
}

// next returns a record that is to be saved now, if none is being saved.
func (vr *verdictRecords) next() (string, verdictRecord, bool) {
	vr.mu.Lock()
	defer vr.mu.Unlock()
	for key, record := range vr.records {
		if record.unsaved && !vr.saving && time.Since(record.savedAt) > verdictSaveInterval {
			record.savedAt = time.Now()
			vr.records[key], vr.saving = record, true
			return key, record, true
		}
	}
	return "", verdictRecord{}, false
}

// saved records the result of a save.
func (vr *verdictRecords) saved(key string, record verdictRecord, done bool) {
	vr.mu.Lock()
	defer vr.mu.Unlock()
	vr.saving = false
	current := vr.records[key]
	if !done || current.ended != record.ended {
		return
	}
	current.unsaved = false
	vr.records[key] = current
	if current.ended {
		delete(vr.records, key)
	}
}

func (vr *verdictRecords) revision(key string) int64 {
	vr.mu.Lock()
	defer vr.mu.Unlock()
	return vr.records[key].revision
}

// remove forgets the entry of a verdict.
func (vr *verdictRecords) remove(key string) {
	vr.mu.Lock()
	defer vr.mu.Unlock()
	delete(vr.records, key)
}

// saveVerdicts writes one new verdict to the store, or deletes one that has ended, without waiting for it.
func (su *Supervisor) saveVerdicts(ctx context.Context) {
	key, record, ok := su.verdicts.next()
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, verdictSaveTimeout)
		defer cancel()
		tx := platform.Transaction{Deletes: []string{verdictPrefix + key}}
		if !record.ended {
			tx = verdictTransaction(key, 0, record.verdict)
		}
		_, err := su.transact(ctx, tx)
		// On a conflict, another instance has made the same verdict.
		done := err == nil || errors.Is(err, platform.ErrConflict)
		if !done {
			su.logger.Warn("verdict on prompt part not saved", "parts", record.verdict, "ended", record.ended, "error", err)
		}
		su.verdicts.saved(key, record, done)
	}()
}

// verdictTransaction writes the entry of a verdict if it has the given revision.
func verdictTransaction(key string, revision int64, ve quarantiner.Verdict) platform.Transaction {
	entry := &wire.CondemnedParts{Probes: int32(ve.Probes)}
	for _, np := range ve.Parts {
		entry.Parts, entry.Names = append(entry.Parts, uint64(np.Part)), append(entry.Names, np.Name)
	}
	// A message of numbers and strings can always be encoded.
	value, _ := proto.Marshal(entry)
	return platform.Transaction{
		Expected: []platform.Expectation{{Key: verdictPrefix + key, Revision: revision}},
		Writes:   []platform.Write{{Key: verdictPrefix + key, Value: value}},
	}
}

// applyVerdictChange applies a change of a verdict's entry in the store; it returns false for other keys.
func (su *Supervisor) applyVerdictChange(it platform.Item) bool {
	key, ok := strings.CutPrefix(it.Key, verdictPrefix)
	if !ok {
		return false
	}
	if it.Deleted {
		su.verdicts.remove(key)
		if ve, ok := su.parts.Withdraw(key); ok {
			su.logger.Info("prompt part released", "parts", ve, "reason", "entry removed")
		}
		return true
	}
	var entry wire.CondemnedParts
	if err := proto.Unmarshal(it.Value, &entry); err != nil {
		su.logger.Warn("entry skipped", "key", it.Key, "revision", it.Revision, "error", err)
		return true
	}
	now := time.Now()
	ve := quarantiner.Verdict{
		Parts: namedParts(entry.GetParts(), entry.GetNames()), Since: now, At: now, RefusedAt: now, Probes: int(entry.GetProbes()),
	}
	su.verdicts.set(key, verdictRecord{verdict: ve, revision: it.Revision})
	if su.parts.Adopt(ve) {
		su.logAdopted(ve, "store")
	}
	return true
}

// claimProbe reports whether a request may test a verdict. The verdict's entry in the store counts the probes of all instances;
// without the store there are none.
func (su *Supervisor) claimProbe(ctx context.Context, ve quarantiner.Verdict) bool {
	key := ve.Key()
	revision := su.verdicts.revision(key)
	if revision == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeClaimTimeout)
	defer cancel()
	ve.Probes++
	// The next probe waits for its own time, even if this claim fails or its answer is lost.
	su.parts.Probed(key, ve.Probes)
	changed, err := su.transact(ctx, verdictTransaction(key, revision, ve))
	su.logger.Info("verdict on prompt part tested", "parts", ve, "probes", ve.Probes, "claimed", err == nil)
	if err != nil {
		return false
	}
	su.verdicts.set(key, verdictRecord{verdict: ve, revision: changed})
	return true
}
