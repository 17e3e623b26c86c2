package relayer

import (
	"context"
	"errors"
	"io"

	"lovagebank/forwarder"
	"lovagebank/wire"
)

// bodyReader reads the body that a relaying instance passes on. It returns io.EOF only at the end of a whole body.
type bodyReader struct {
	peer    Peer
	stream  Stream
	pending []byte
	err     error
}

// Read reads the next part of the body.
func (br *bodyReader) Read(into []byte) (int, error) {
	for len(br.pending) == 0 {
		if br.err != nil {
			return 0, br.err
		}
		br.receive()
	}
	count := copy(into, br.pending)
	br.pending = br.pending[count:]
	return count, nil
}

func (br *bodyReader) receive() {
	if !br.stream.Receive() {
		br.err = forwarder.NewHopError(errors.Join(errHopBroken, br.stream.Err()), true)
		return
	}
	message := br.stream.Msg()
	br.pending = message.GetBody()
	switch {
	case message.GetComplete():
		br.err = io.EOF
	case message.GetFailure() != nil:
		br.err = sendError(br.peer, message.GetFailure())
	}
}

// Serve sends a request to a target for another instance, and passes the answer on as it arrives. It returns an error
// if the other instance no longer receives the answer.
func (re *Relayer) Serve(ctx context.Context, message *wire.RelayRequest, send func(*wire.RelayResponse) error) error {
	if re.op.Refuses() || !re.reserve() {
		return send(refused("it relays no more now"))
	}
	defer re.release()
	rs, err := re.op.Forward(ctx, message)
	if err != nil {
		return send(failure(err))
	}
	defer rs.Close()
	if err := send(&wire.RelayResponse{Head: &wire.RelayHead{
		Status: int32(rs.Status()), Headers: encodeHeader(rs.Header()), Length: rs.ContentLength(), Unframed: rs.Unframed(),
	}}); err != nil {
		return err
	}
	return passBody(rs, send)
}

// passBody passes the body of an answer on, and how it has ended.
func passBody(rs *forwarder.Response, send func(*wire.RelayResponse) error) error {
	buffer := make([]byte, chunkSize)
	for {
		count, err := rs.Read(buffer)
		switch {
		case errors.Is(err, io.EOF):
			return send(&wire.RelayResponse{Body: buffer[:count], Complete: true})
		case err != nil:
			return send(&wire.RelayResponse{Body: buffer[:count], Failure: &wire.RelayFailure{MayHaveRun: true, Reason: err.Error()}})
		}
		if err := send(&wire.RelayResponse{Body: buffer[:count]}); err != nil {
			return err
		}
	}
}

func (re *Relayer) reserve() bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.relayed >= maxRelayed {
		return false
	}
	re.relayed++
	return true
}

func (re *Relayer) release() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.relayed--
}

func refused(reason string) *wire.RelayResponse {
	return &wire.RelayResponse{Failure: &wire.RelayFailure{Refused: true, Reason: reason}}
}

// failure returns the message of the error of a send.
func failure(err error) *wire.RelayResponse {
	var se *forwarder.SendError
	fa := &wire.RelayFailure{MayHaveRun: !errors.As(err, &se) || se.MayHaveRun(), Reason: err.Error()}
	fa.Unusable = errors.Is(err, forwarder.ErrUnusable)
	fa.Refused = errors.Is(err, forwarder.ErrNoConnection)
	return &wire.RelayResponse{Failure: fa}
}
