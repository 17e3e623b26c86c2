package exchanger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lovagebank/platform"
	"lovagebank/watcher"
	"lovagebank/wire"
)

// mirrorTimeout bounds a call for copies, beyond the time that it may wait for a change.
const mirrorTimeout = 600 * time.Millisecond

// The copies of the store's keys that each instance keeps.
const (
	CopyOperator = iota
	CopyTargets
	CopyOwn
	// CopyCount is their number.
	CopyCount
)

// Cursors are where a follower stands in each copy of another instance; 0 is before the beginning.
type Cursors [CopyCount]uint64

// MirrorRequest asks for changes since marks that a start of a process gave out.
type MirrorRequest struct {
	Start   string
	Cursors Cursors
	// Wait is how long to wait for a change.
	Wait time.Duration
}

// MirrorResponse is what changed in an instance's copies.
type MirrorResponse struct {
	// Start names the start of the process that the marks belong to.
	Start   string
	Changes [CopyCount]watcher.Changes
	// Current tells that the store itself keeps the copies up to date.
	Current bool
	// FailureAge is the time since the store last failed a call of that instance; negative if it never has.
	FailureAge time.Duration
}

// Mirror asks an instance for changes of its copies of the store's keys.
func (ex *Exchanger) Mirror(ctx context.Context, address string, rq MirrorRequest) (MirrorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, rq.Wait+mirrorTimeout)
	defer cancel()
	answer, err := ex.clientOf(address).Mirror(ctx, connect.NewRequest(&wire.MirrorRequest{
		Start: rq.Start, Marks: rq.Cursors[:], WaitMs: int32(rq.Wait.Milliseconds()),
	}))
	if err != nil {
		return MirrorResponse{}, err
	}
	mi := MirrorResponse{
		Start: answer.Msg.GetStart(), Current: answer.Msg.GetCurrent(),
		FailureAge: time.Duration(answer.Msg.GetFailureAgeMs()) * time.Millisecond,
	}
	for index, cp := range answer.Msg.GetCopies() {
		if index < CopyCount {
			mi.Changes[index] = decodeChanges(cp)
		}
	}
	return mi, nil
}

// Mirror answers with the changes of the instance's copies.
func (se *service) Mirror(ctx context.Context, rq *connect.Request[wire.MirrorRequest]) (*connect.Response[wire.MirrorResponse], error) {
	asked := MirrorRequest{Start: rq.Msg.GetStart(), Wait: time.Duration(rq.Msg.GetWaitMs()) * time.Millisecond}
	copy(asked.Cursors[:], rq.Msg.GetMarks())
	mi := se.op.Mirror(ctx, asked)
	response := &wire.MirrorResponse{Start: mi.Start, Current: mi.Current, FailureAgeMs: mi.FailureAge.Milliseconds()}
	for _, ch := range mi.Changes {
		response.Copies = append(response.Copies, encodeChanges(ch))
	}
	return connect.NewResponse(response), nil
}

func decodeChanges(cp *wire.MirrorCopy) watcher.Changes {
	ch := watcher.Changes{Whole: cp.GetWhole(), Cursor: cp.GetMark(), Revision: cp.GetRevision()}
	for _, it := range cp.GetItems() {
		ch.Items = append(ch.Items, platform.Item{
			Key: it.GetKey(), Value: it.GetValue(), Revision: it.GetRevision(), Deleted: it.GetDeleted(),
		})
	}
	return ch
}

func encodeChanges(ch watcher.Changes) *wire.MirrorCopy {
	cp := &wire.MirrorCopy{Whole: ch.Whole, Mark: ch.Cursor, Revision: ch.Revision}
	for _, it := range ch.Items {
		cp.Items = append(cp.Items, &wire.MirrorItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	return cp
}
