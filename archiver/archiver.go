// Package archiver stores answers in the store, split into values of limited size.
package archiver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/sleeper"
	"lovagebank/storer"
	"lovagebank/wire"
)

// Sizes of stored answers. The store accepts values of up to 512 KiB, in base64.
const (
	// maxInlineBytes is the size of the largest answer that is stored inside the record that refers to it.
	maxInlineBytes = 4 << 10
	// partBytes is the maximum size of a part.
	partBytes = 256 << 10
	// MaxBytes is the size of the largest answer that is stored, in bytes.
	MaxBytes = 8 * partBytes
	// retryInterval is the pause between attempts of one write.
	retryInterval = 50 * time.Millisecond
)

// ErrPartMismatch is returned by Read if a part belongs to a different answer than the record.
var ErrPartMismatch = errors.New("part belongs to a different answer")

// Options configures an Archiver.
type Options struct {
	// Get reads one key from the store, like storer.Client.Get.
	Get func(ctx context.Context, key string) (storer.Entry, error)
	// Commit applies all steps atomically, like batcher.Batcher.Commit.
	Commit func(ctx context.Context, steps ...storer.Step) ([]storer.Entry, error)
}

// Archiver writes answers to the store and reads them back.
type Archiver struct {
	options Options
}

// New returns an Archiver.
func New(options Options) *Archiver { return &Archiver{options: options} }

// Store stores an answer and returns the value to put into its record. A small answer is included in that value. A
// larger one is first written in parts under keys derived from the record's key. An answer over MaxBytes is dropped and
// the value marked as such. The nonce must be unique to the run that produced the answer. Failed writes are retried
// until the context ends.
func (ar *Archiver) Store(ctx context.Context, key, nonce string, answer *wire.Answer) (*wire.KeptAnswer, error) {
	if answer == nil {
		return nil, nil
	}
	value, err := proto.Marshal(answer)
	if err != nil {
		return nil, err
	}
	kept := &wire.KeptAnswer{Nonce: nonce}
	switch {
	case len(value) <= maxInlineBytes:
		kept.Answer = answer
		return kept, nil
	case len(value) > MaxBytes:
		kept.Dropped = true
		return kept, nil
	}
	for begin := 0; begin < len(value); begin += partBytes {
		part := &wire.AnswerPart{Nonce: nonce, Data: value[begin:min(begin+partBytes, len(value))]}
		if err := ar.writePart(ctx, partKey(key, nonce, kept.GetParts()), part); err != nil {
			return nil, err
		}
		kept.Parts++
	}
	return kept, nil
}

// Read returns a stored answer, assembled from its parts if it has any. It returns the error of Get if a part can't be
// read, and ErrPartMismatch if a part belongs to a different answer.
func (ar *Archiver) Read(ctx context.Context, key string, kept *wire.KeptAnswer) (*wire.Answer, error) {
	if kept.GetParts() == 0 {
		return kept.GetAnswer(), nil
	}
	var value []byte
	for index := range kept.GetParts() {
		en, err := ar.options.Get(ctx, partKey(key, kept.GetNonce(), index))
		if err != nil {
			return nil, err
		}
		part := &wire.AnswerPart{}
		if err := proto.Unmarshal(en.Value(), part); err != nil {
			return nil, err
		}
		if part.GetNonce() != kept.GetNonce() {
			return nil, ErrPartMismatch
		}
		value = append(value, part.GetData()...)
	}
	answer := &wire.Answer{}
	return answer, proto.Unmarshal(value, answer)
}

// partKey returns the store key of a part. It contains the nonce, so that parts from two runs of one request never mix.
func partKey(key, nonce string, index int32) string {
	return fmt.Sprintf("%s.%s.%d", key, nonce, index)
}

func (ar *Archiver) writePart(ctx context.Context, key string, part *wire.AnswerPart) error {
	value, err := proto.Marshal(part)
	if err != nil {
		return err
	}
	for {
		_, err := ar.options.Commit(ctx, storer.Swap(key, value, 0))
		if err == nil {
			return nil
		}
		if en, gerr := ar.options.Get(ctx, key); gerr == nil && string(en.Value()) == string(value) {
			return nil
		}
		if !sleeper.For(ctx, retryInterval) {
			return errors.Join(err, ctx.Err())
		}
	}
}
