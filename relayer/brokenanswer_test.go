package relayer_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"lovagebank/balancer"
	"lovagebank/faker"
	"lovagebank/forwarder"
	"lovagebank/relayer"
	"lovagebank/wire"
)

// Guards against a head that another instance, of an earlier version perhaps, passes on although it is none of an answer.
func TestMalformedHeadsAreNotPassedOn(t *testing.T) {
	head := func(status int32, name, value string) *wire.RelayHead {
		return &wire.RelayHead{Status: status, Headers: []*wire.RelayHeader{{Name: name, Values: []string{value}}}}
	}
	tests := map[string]struct {
		head  *wire.RelayHead
		fails bool
		onHop bool
	}{
		"status 000":                {head(0, "Odd", "x"), true, false},
		"status 099":                {head(99, "Odd", "x"), true, false},
		"an interim status":         {head(103, "Odd", "x"), true, false},
		"another protocol":          {head(101, "Odd", "x"), true, false},
		"a status of four digits":   {head(2000, "Odd", "x"), true, false},
		"a blank in a name":         {head(200, "Odd Name", "x"), true, false},
		"a blank after a name":      {head(200, "Content-Length ", "1"), true, false},
		"a zero byte in a name":     {head(200, "O\x00dd", "x"), true, false},
		"an empty name":             {head(200, "", "x"), true, false},
		"a line feed in a value":    {head(200, "Odd", "a\nb"), true, false},
		"a control byte in a value": {head(200, "Odd", "a\x01b"), true, false},
		"no head":                   {nil, true, true},
		"an odd token and value":    {head(200, "!#$%&'*+-.^_`|~", "\tö (x)"), false, false},
		"a status above 599":        {head(799, "Odd", "x"), false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			re := relayer.New(relayer.Options{
				Peers: func() []relayer.Peer { return []relayer.Peer{{Name: "b", Address: "b"}} },
				Call: func(context.Context, string, *wire.RelayRequest) (relayer.Stream, error) {
					ho := &hop{messages: make(chan *wire.RelayResponse, 1)}
					ho.messages <- &wire.RelayResponse{Head: tt.head}
					close(ho.messages)
					return ho, nil
				},
				Random: func() float64 { return 0 },
			})
			rs, err := re.Send(t.Context(), balancer.Start{Target: "t"}, &forwarder.Request{ID: "r", Method: http.MethodPost})
			if (err != nil) != tt.fails {
				t.Fatalf("got %v", err)
			}
			if err == nil {
				rs.Close()
				return
			}
			var se *forwarder.SendError
			if !errors.As(err, &se) || !se.MayHaveRun() || se.OnHop() != tt.onHop {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against a part of an answer that another instance passes on as the whole, as its connection was reset while it
// wrote the upload.
func TestResetWithinUploadIsPassedOn(t *testing.T) {
	const plays = 10
	upload := make([]byte, 16<<20)
	tests := map[string]struct {
		end   faker.RawEnd
		whole bool
	}{"reset": {faker.RawReset, false}, "closed unread": {faker.RawUnread, false}, "closed in order": {faker.RawClosed, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rs, err := faker.NewRawServer(func(*http.Request) faker.RawAnswer {
				return faker.RawAnswer{Text: "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nanswer", End: tt.end}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer rs.Close()
			wrong := 0
			for range plays {
				fl := newFleet("a", "b")
				fl.forward = func(ctx context.Context) (*forwarder.Response, error) {
					return forwarder.New(forwarder.Options{}).Send(ctx, forwarder.Target{ID: "t", Address: rs.Address()}, &forwarder.Request{
						Method: http.MethodPost, URI: "/", Host: "h", ID: "r", Body: upload, HasBody: true,
						ResponseID: func(header http.Header) string { return header.Get("Request-Id") },
					})
				}
				answer, err := fl.relayers["a"].Send(t.Context(), balancer.Start{Target: "t"}, &forwarder.Request{ID: "r"})
				if err == nil {
					_, err = io.ReadAll(answer)
					answer.Close()
				}
				if (err == nil) != tt.whole {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d plays: looks whole is %t", wrong, plays, !tt.whole)
			}
		})
	}
}
