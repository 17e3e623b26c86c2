package exchanger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lovagebank/platform"
	"lovagebank/watcher"
	"lovagebank/wire"
)

// mirrorTimeout is the maximum duration of a Mirror call beyond the time for which it may wait for a change.
const mirrorTimeout = 600 * time.Millisecond

// The copies of the store's keys that each instance keeps, as indexes: the operator's keys, the registered targets and the
// instances' own keys.
const (
	CopyOperator = iota
	CopyTargets
	CopyOwn
	// CopyCount is the number of copies.
	CopyCount
)

// Cursors holds a follower's position in each copy of another instance; 0 requests the whole copy.
type Cursors [CopyCount]uint64

// MirrorRequest requests the changes after cursors that another instance issued.
type MirrorRequest struct {
	// Start identifies the start of the process that issued the cursors.
	Start   string
	Cursors Cursors
	// Wait is how long the call may wait for a change.
	Wait time.Duration
}

// MirrorResponse holds the changes of an instance's copies of the store's keys.
type MirrorResponse struct {
	// Start identifies the start of the process that issued the cursors.
	Start   string
	Changes [CopyCount]watcher.Changes
	// Current means that the store itself keeps the copies up to date.
	Current bool
	// FailureAge is the time since the store last failed a call of that instance; negative if it never did.
	FailureAge time.Duration
}

// Mirror asks the instance at an address for the changes of its copies of the store's keys. The error reports a failed call.
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

// Mirror answers with the changes of this instance's copies.
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
	for _, dr := range cp.GetDeferred() {
		ch.Deferred = append(ch.Deferred, watcher.DeferredRemoval{
			Item: platform.Item{Key: dr.GetKey(), Revision: dr.GetRevision(), Deleted: true},
			Left: time.Duration(dr.GetLeftMs()) * time.Millisecond,
		})
	}
	return ch
}

func encodeChanges(ch watcher.Changes) *wire.MirrorCopy {
	cp := &wire.MirrorCopy{Whole: ch.Whole, Mark: ch.Cursor, Revision: ch.Revision}
	for _, it := range ch.Items {
		cp.Items = append(cp.Items, &wire.MirrorItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	for _, dr := range ch.Deferred {
		cp.Deferred = append(cp.Deferred, &wire.DeferredRemoval{Key: dr.Item.Key, Revision: dr.Item.Revision, LeftMs: dr.Left.Milliseconds()})
	}
	return cp
}
