package resumer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/sleeper"
	"lovagebank/wire"
)

const (
	// maxBatch limits the entries that one transaction writes or deletes.
	maxBatch = 32
	// minDeletions is the number of outdated entries from which they are deleted, unless some are twice as old as they need to be.
	minDeletions = 16
	// writeTimeout limits one transaction, and writeRetryPause is the pause after one that failed.
	writeTimeout    = 600 * time.Millisecond
	writeRetryPause = 50 * time.Millisecond
)

// Record is the entry of a stream that begins.
type Record struct {
	id     string
	origin Origin
	// until is when nobody waits for the entry any more.
	until     time.Time
	confirmed chan struct{}
}

// Wait waits until the origin of the stream is certain to be found. It returns an error if that does not happen in time.
func (rc *Record) Wait(ctx context.Context) error {
	sleeper.Until(ctx, rc.confirmed, time.Until(rc.until))
	select {
	case <-rc.confirmed:
		return nil
	default:
		return errNotRecorded
	}
}

// writePending writes all pending entries, and deletes outdated ones.
func (re *Resumer) writePending(ctx context.Context) {
	for {
		batch := re.nextBatch()
		if len(batch) == 0 {
			return
		}
		tx := platform.Transaction{}
		for _, rc := range batch {
			tx.Writes = append(tx.Writes, platform.Write{Key: platform.StreamPrefix + rc.id, Value: rc.value()})
		}
		if err := re.transact(ctx, tx); err != nil {
			re.op.Logger.Warn("origins of streams not recorded", "streams", len(batch), "error", err)
			if !sleeper.For(ctx, writeRetryPause) {
				return
			}
			re.requeue(batch)
			continue
		}
		re.confirm(batch)
	}
}

// value returns the encoded entry.
func (rc *Record) value() []byte {
	entry := &wire.StreamOrigin{Service: rc.origin.Service, Software: rc.origin.Software, WrittenMs: time.Now().UnixMilli()}
	// A message of numbers and strings can always be encoded.
	value, _ := proto.Marshal(entry)
	return value
}

func (re *Resumer) transact(ctx context.Context, tx platform.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := re.op.Transact(ctx, tx)
	return err
}

// nextBatch takes the entries to write next. An entry for which nobody waits any more is dropped.
func (re *Resumer) nextBatch() []*Record {
	re.mu.Lock()
	defer re.mu.Unlock()
	var batch []*Record
	for len(re.pending) > 0 && len(batch) < maxBatch {
		rc := re.pending[0]
		re.pending = re.pending[1:]
		if time.Now().Before(rc.until) {
			batch = append(batch, rc)
		}
	}
	return batch
}

func (re *Resumer) requeue(batch []*Record) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.pending = append(batch, re.pending...)
}

func (re *Resumer) confirm(batch []*Record) {
	re.mu.Lock()
	defer re.mu.Unlock()
	for _, rc := range batch {
		close(rc.confirmed)
		re.written = append(re.written, writtenEntry{key: platform.StreamPrefix + rc.id, at: time.Now()})
	}
}

// deleteOutdated deletes entries that this instance has written and that no stream needs any more.
func (re *Resumer) deleteOutdated(ctx context.Context) {
	re.mu.Lock()
	var keys []string
	for _, we := range re.written {
		if time.Since(we.at) > re.retention() && len(keys) < maxBatch {
			keys = append(keys, we.key)
		}
	}
	due := len(keys) >= minDeletions || len(keys) > 0 && time.Since(re.written[0].at) > 2*re.retention()
	re.mu.Unlock()
	if !due {
		return
	}
	if err := re.transact(ctx, platform.Transaction{Deletes: keys}); err != nil {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	re.written = re.written[len(keys):]
}

// orphanAge returns the age from which an entry is one of a lost instance.
func (re *Resumer) orphanAge() time.Duration {
	re.mu.Lock()
	defer re.mu.Unlock()
	return 2*re.retention() + orphanMargin
}

// deleteOrphans deletes outdated entries of instances that have been lost.
func (re *Resumer) deleteOrphans(ctx context.Context) error {
	pa, err := re.op.List(ctx, platform.StreamPrefix)
	if err != nil {
		return err
	}
	var keys []string
	for _, it := range pa.Items {
		var entry wire.StreamOrigin
		err := proto.Unmarshal(it.Value, &entry)
		if err != nil || time.Since(time.UnixMilli(entry.GetWrittenMs())) > re.orphanAge() {
			keys = append(keys, it.Key)
		}
	}
	for len(keys) > 0 {
		count := min(len(keys), maxBatch)
		if err := re.transact(ctx, platform.Transaction{Deletes: keys[:count]}); err != nil {
			return errors.Join(errors.New("outdated origins of streams not deleted"), err)
		}
		keys = keys[count:]
	}
	return nil
}
