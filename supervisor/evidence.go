package supervisor

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/quarantiner"
	"lovagebank/wire"
)

const (
	// evidencePrefix begins the keys of crashes that may be due to a part of prompts. They outlive the loss of all instances.
	evidencePrefix = platform.InstancePrefix + "crashes/"
	// holderEvidenceDelay is the time from a change of the evidence of a crash to the call with which the target's
	// holder saves it: by then the instances have reported what they saw, and answers have begun on most sound parts.
	holderEvidenceDelay = 250 * time.Millisecond
	// otherEvidenceDelay is the minimum of that delay for all other instances, and otherEvidenceSpread the largest
	// random addition to it. One of them saves the evidence if the holder does not; the spread keeps them from all
	// calling the store at once.
	otherEvidenceDelay  = 2 * time.Second
	otherEvidenceSpread = 4 * time.Second
	// maxEvidenceEntries limits the entries of one call.
	maxEvidenceEntries = 8
	// evidenceSaveTimeout limits one call, and evidenceRetryPause is the least time from a call that failed to the next.
	evidenceSaveTimeout = 600 * time.Millisecond
	evidenceRetryPause  = time.Second
)

// evidenceEntries is what is known of the entries of crashes in the store.
type evidenceEntries struct {
	mu        sync.Mutex
	revisions map[string]int64
	// dueAt is when this instance writes an entry that differs from its own state, by key.
	dueAt    map[string]time.Time
	saving   bool
	pauseEnd time.Time
}

// evidenceKey returns the key of the crash of a start of a target.
func evidenceKey(ts balancer.Start) string {
	return evidencePrefix + ts.Target + "/" + strconv.FormatInt(ts.Started.UnixMilli(), 10)
}

// parseEvidenceKey returns the start of a target that a key names; false if the key has another form.
func parseEvidenceKey(key string) (balancer.Start, bool) {
	rest, ok := strings.CutPrefix(key, evidencePrefix)
	at := strings.LastIndexByte(rest, '/')
	if !ok || at < 0 {
		return balancer.Start{}, false
	}
	started, err := strconv.ParseInt(rest[at+1:], 10, 64)
	if err != nil {
		return balancer.Start{}, false
	}
	return balancer.Start{Target: rest[:at], Started: time.UnixMilli(started)}, true
}

// due returns the evidence that this instance is to write now, and marks that a call is under way if there is any.
func (ee *evidenceEntries) due(unsaved []quarantiner.Evidence, holds func(target string) bool) []quarantiner.Evidence {
	ee.mu.Lock()
	defer ee.mu.Unlock()
	now := time.Now()
	dueAt := make(map[string]time.Time, len(unsaved))
	var due []quarantiner.Evidence
	for _, ev := range unsaved {
		key := evidenceKey(ev.Target)
		at, known := ee.dueAt[key]
		if !known {
			at = now.Add(otherEvidenceDelay + time.Duration(rand.Int64N(int64(otherEvidenceSpread))))
			if holds(ev.Target.Target) {
				at = now.Add(holderEvidenceDelay)
			}
		}
		dueAt[key] = at
		if now.After(at) && now.After(ee.pauseEnd) && !ee.saving && len(due) < maxEvidenceEntries {
			due = append(due, ev)
		}
	}
	ee.dueAt = dueAt
	ee.saving = ee.saving || len(due) > 0
	return due
}

// transaction writes the entries of crashes, or deletes those without suspects, unless another instance has changed them.
func (ee *evidenceEntries) transaction(evidence []quarantiner.Evidence) platform.Transaction {
	ee.mu.Lock()
	defer ee.mu.Unlock()
	var tx platform.Transaction
	for _, ev := range evidence {
		key := evidenceKey(ev.Target)
		tx.Expected = append(tx.Expected, platform.Expectation{Key: key, Revision: ee.revisions[key]})
		if len(ev.Suspects) == 0 {
			tx.Deletes = append(tx.Deletes, key)
			continue
		}
		entry := &wire.CrashEvidence{AtMs: ev.At.UnixMilli()}
		for pt, request := range ev.Suspects {
			entry.Parts, entry.Requests = append(entry.Parts, uint64(pt)), append(entry.Requests, request)
		}
		// A message of numbers can always be encoded.
		value, _ := proto.Marshal(entry)
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
	}
	return tx
}

// saved records the result of a call, and the revision of the entries that it wrote.
func (ee *evidenceEntries) saved(tx platform.Transaction, revision int64, err error) {
	ee.mu.Lock()
	defer ee.mu.Unlock()
	ee.saving = false
	for _, ex := range tx.Expected {
		delete(ee.dueAt, ex.Key)
	}
	if err != nil {
		ee.pauseEnd = time.Now().Add(evidenceRetryPause)
		return
	}
	for _, wr := range tx.Writes {
		ee.revisions[wr.Key] = revision
	}
	for _, key := range tx.Deletes {
		delete(ee.revisions, key)
	}
}

// changed records a change of an entry by any instance.
func (ee *evidenceEntries) changed(it platform.Item) {
	ee.mu.Lock()
	defer ee.mu.Unlock()
	delete(ee.revisions, it.Key)
	if !it.Deleted {
		ee.revisions[it.Key] = it.Revision
	}
}

// saveEvidence keeps the evidence of crashes in the store, without waiting for it.
func (su *Supervisor) saveEvidence(ctx context.Context) {
	own := su.settings.IP()
	due := su.evidence.due(su.parts.Unsaved(), func(target string) bool { return su.keeper.Holder(target) == own })
	if len(due) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, evidenceSaveTimeout)
		defer cancel()
		tx := su.evidence.transaction(due)
		revision, err := su.transact(ctx, tx)
		su.evidence.saved(tx, revision, err)
		su.reporter.AddToCounter("crash_evidence_calls", 1)
		if err == nil {
			for _, ev := range due {
				su.parts.Saved(ev)
			}
			return
		}
		// On a conflict, the change of another instance is on its way.
		if !errors.Is(err, platform.ErrConflict) {
			su.logger.Warn("evidence of crashes not saved", "crashes", len(due), "error", err)
		}
	}()
}

// applyEvidenceChange applies a change of a crash's entry in the store; it returns false for other keys.
func (su *Supervisor) applyEvidenceChange(it platform.Item) bool {
	ts, ok := parseEvidenceKey(it.Key)
	if !ok {
		return false
	}
	su.evidence.changed(it)
	ev := quarantiner.Evidence{Target: ts, Suspects: make(map[quarantiner.Part]uint32)}
	if it.Deleted {
		su.parts.Saved(ev)
		return true
	}
	var entry wire.CrashEvidence
	if err := proto.Unmarshal(it.Value, &entry); err != nil || len(entry.GetParts()) != len(entry.GetRequests()) {
		su.logger.Warn("entry skipped", "key", it.Key, "revision", it.Revision, "error", err)
		return true
	}
	ev.At = time.UnixMilli(entry.GetAtMs())
	// The clock of the instance that wrote the entry may be ahead.
	if now := time.Now(); ev.At.After(now) {
		ev.At = now
	}
	for at, pt := range entry.GetParts() {
		ev.Suspects[quarantiner.Part(pt)] = entry.GetRequests()[at]
	}
	if su.parts.Saved(ev) {
		su.logger.Info("crash of target learned from the store", "target", ts.Target, "started", ts.Started.UnixMilli(),
			"suspects", len(ev.Suspects), "age-ms", time.Since(ev.At).Milliseconds())
	}
	return true
}
