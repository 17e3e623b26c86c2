package server

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"lovagebank/connector"
	"lovagebank/faker"
	"lovagebank/invoker"
	"lovagebank/leaser"
	"lovagebank/storer"
	"lovagebank/wire"
	"lovagebank/wire/wireconnect"
)

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (cl countedListener) Accept() (net.Conn, error) {
	conn, err := cl.Listener.Accept()
	return countedConn{conn, cl.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (cc countedConn) Read(buffer []byte) (int, error) {
	count, err := cc.Conn.Read(buffer)
	cc.bytes.Add(int64(count))
	return count, err
}

func (cc countedConn) Write(buffer []byte) (int, error) {
	count, err := cc.Conn.Write(buffer)
	cc.bytes.Add(int64(count))
	return count, err
}

// serveCounted serves on a socket of its own and counts the bytes.
func serveCounted(b *testing.B, handler http.Handler) (address string, count *atomic.Int64) {
	b.Helper()
	count = &atomic.Int64{}
	hs := httptest.NewUnstartedServer(handler)
	hs.Listener = countedListener{hs.Listener, count}
	hs.Config.Protocols = connector.Protocols()
	hs.Start()
	b.Cleanup(hs.Close)
	return hs.Listener.Addr().String(), count
}

type slopeLender struct {
	wireconnect.UnimplementedLimitServiceHandler
}

func (slopeLender) Borrow(_ context.Context, call *connect.Request[wire.BorrowRequest]) (*connect.Response[wire.BorrowResponse], error) {
	part := &wire.LoanPart{Bucket: call.Msg.GetBucket(), Fencing: 12, Tokens: 1800, ValidMs: 250, Loan: 41234}
	return connect.NewResponse(&wire.BorrowResponse{
		Tokens: 1800, ValidMs: 250, Held: true, Fencing: 12, Rate: 30000, Parts: []*wire.LoanPart{part},
	}), nil
}

// BenchmarkLoan reports the bytes and the time of one loan of tokens between instances, HTTP/2 and acknowledgements of
// the protocol included, on a connection that is open.
func BenchmarkLoan(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewLimitServiceHandler(slopeLender{}, connector.NewGuard("secret", false)))
	address, _ := serveCounted(b, mux)
	co := connector.New(connector.Options{Secret: "secret"})
	defer co.Close()
	call := func(index int) {
		request := connect.NewRequest(&wire.BorrowRequest{
			Bucket: leaser.FloorName("north-1", "castaneda"), Borrower: "instance-0123-8f3a2b1c",
			RequestId: fmt.Sprintf("instance-0123-8f3a2b1c-%d", index), Tokens: 1800, Least: 900, Waiting: 900, LeftMs: 30000,
		})
		if _, err := co.Peer(address).Limits().Borrow(b.Context(), request); err != nil {
			b.Fatal(err)
		}
	}
	call(0)
	before := co.ControlBytes()
	calls := 0
	for b.Loop() {
		calls++
		call(calls)
	}
	b.ReportMetric(float64(co.ControlBytes()-before)/float64(calls), "bytes/loan")
}

// BenchmarkLoadReport reports the bytes of one reading of an engine's load report, with 8 adapters loaded.
func BenchmarkLoadReport(b *testing.B) {
	const slots = 8
	en := faker.NewEngine(faker.EngineOptions{ID: "engine-1", Domain: "a", Base: faker.BaseCastaneda, Slots: slots})
	address, count := serveCounted(b, en)
	iv := invoker.New(invoker.Options{})
	tg := &wire.Target{Id: "engine-1", Address: address, Kind: targetKindEngine, Base: faker.BaseCastaneda}
	for index := range slots {
		name := fmt.Sprintf("castaneda-parts-%04d@1", index+1)
		if err := iv.LoadAdapter(b.Context(), tg, name, 1); err != nil {
			b.Fatal(err)
		}
	}
	before, calls := count.Load(), 0
	for b.Loop() {
		calls++
		if _, err := iv.FetchLoadReport(b.Context(), tg); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(count.Load()-before)/float64(calls), "bytes/report")
}

// BenchmarkListReading reports the bytes of one whole reading of the platform's list as the stand-in gives it (a
// platform may add fields), raw and compressed, and the time to read it.
func BenchmarkListReading(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, size := range []struct{ instances, targets int }{{64, 400}, {370, 2400}} {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", size.instances, size.targets), func(b *testing.B) {
			li := faker.NewList(faker.ListOptions{})
			register := func(name string, index int, meta map[string]string) {
				meta[faker.MetaDomain], meta[faker.MetaRegion] = fmt.Sprintf("north-%d", index%11), "north"
				li.Register(faker.Listing{
					Name: name, ID: fmt.Sprintf("%s-%08x", name, random.Uint32()), Meta: meta,
					Address: fmt.Sprintf("10.%d.%d.%d:8000", random.IntN(256), random.IntN(256), random.IntN(256)),
				})
			}
			for index := range size.instances {
				register(faker.ServiceNameInstances, index, map[string]string{})
			}
			for index := range size.targets {
				register(faker.ServiceNameEngines, index, map[string]string{"base": "base-1", "slots": "8", "batch": "16"})
			}
			address, count := serveCounted(b, li)
			client := storer.New(storer.Options{Address: "http://" + address, CallsPerSecond: 1e6})
			readings := 0
			for b.Loop() {
				readings++
				for _, name := range []string{faker.ServiceNameInstances, faker.ServiceNameEngines} {
					if _, err := client.Registrations(b.Context(), name); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(count.Load())/float64(readings), "bytes/reading")
			b.ReportMetric(float64(compressedBytes(b, address)), "gzip-bytes")
		})
	}
}

// compressedBytes returns the bytes of one reading as a platform that compresses would send it.
func compressedBytes(b *testing.B, address string) int {
	b.Helper()
	var packed bytes.Buffer
	gz := gzip.NewWriter(&packed)
	for _, name := range []string{faker.ServiceNameInstances, faker.ServiceNameEngines} {
		response, err := http.Get("http://" + address + "/v1/health/service/" + name) //nolint:noctx // the benchmark's own
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(gz, response.Body); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
	if err := gz.Close(); err != nil {
		b.Fatal(err)
	}
	return packed.Len()
}

// listedRecord is one entry of a listing, in the store's form.
type listedRecord struct {
	LockIndex, Flags, CreateIndex, ModifyIndex uint64
	Key, Session                               string
	Value                                      []byte
}

// BenchmarkHolderRecord reports the bytes of one holder record, and of its entry in a listing of the store.
func BenchmarkHolderRecord(b *testing.B) {
	identity := func(index int) string {
		return fmt.Sprintf("instance-%04d-%s", index, strings.Repeat("k", identityLetters))
	}
	session := "0b2c5f0e-4f6c-4a0e-9f55-3f0f6a2f1c7d"
	record := &wire.HolderRecord{
		Resource: leaser.TargetName("engine-0123-77c1"), Holder: identity(1), Session: session,
		Successors: []string{identity(2), identity(3)}, Fencing: 12, Nonce: identity(1) + "#123",
	}
	size, listed := 0, 0
	for b.Loop() {
		value, err := proto.Marshal(record)
		if err != nil {
			b.Fatal(err)
		}
		entry, err := json.Marshal(listedRecord{
			LockIndex: 3, CreateIndex: 1234567, ModifyIndex: 1234599, Session: session,
			Key: leaser.Prefix + record.GetResource(), Value: value,
		})
		if err != nil {
			b.Fatal(err)
		}
		size, listed = len(value), len(entry)
	}
	b.ReportMetric(float64(size), "record-bytes")
	b.ReportMetric(float64(listed), "listed-bytes")
}
