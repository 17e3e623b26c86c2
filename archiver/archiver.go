// Package archiver keeps answers in the store, in values of bounded size.
package archiver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/pauser"
	"lovagebank/storer"
	"lovagebank/wire"
)

// Sizes of kept answers. The store takes values of 512 KiB, in base64.
const (
	// inlineSize is the largest answer, in bytes, that lies in the record that names it.
	inlineSize = 4 << 10
	partSize   = 256 << 10
	// MaxBytes is the largest answer that is kept, in bytes.
	MaxBytes = 8 * partSize
	// retryPause spaces the attempts of one write.
	retryPause = 50 * time.Millisecond
)

// ErrPartMismatch is returned when a part is not of the answer that was kept.
var ErrPartMismatch = errors.New("part of another answer")

// Options configures an Archiver.
type Options struct {
	// Get reads one key of the store, as storer.Client does.
	Get func(ctx context.Context, key string) (storer.Entry, error)
	// Commit makes all steps or none, as batcher.Batcher does.
	Commit func(ctx context.Context, steps ...storer.Step) ([]storer.Entry, error)
}

// Archiver keeps answers.
type Archiver struct {
	options Options
}

// New makes an archiver.
func New(options Options) *Archiver { return &Archiver{options: options} }

// Store returns what a record has to hold of an answer. Larger answers are written to parts beside the record's key
// first; those over MaxBytes are dropped, and the result says so. The nonce is unique to the answer's run.
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
	case len(value) <= inlineSize:
		kept.Answer = answer
		return kept, nil
	case len(value) > MaxBytes:
		kept.Dropped = true
		return kept, nil
	}
	for begin := 0; begin < len(value); begin += partSize {
		part := &wire.AnswerPart{Nonce: nonce, Data: value[begin:min(begin+partSize, len(value))]}
		if err := ar.write(ctx, partKey(key, nonce, kept.GetParts()), part); err != nil {
			return nil, err
		}
		kept.Parts++
	}
	return kept, nil
}

// Read puts a kept answer together.
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

// partKey names a part by its run, so that two runs of one request never mix.
func partKey(key, nonce string, index int32) string {
	return fmt.Sprintf("%s.%s.%d", key, nonce, index)
}

func (ar *Archiver) write(ctx context.Context, key string, part *wire.AnswerPart) error {
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
		if !pauser.For(ctx, retryPause) {
			return errors.Join(err, ctx.Err())
		}
	}
}
