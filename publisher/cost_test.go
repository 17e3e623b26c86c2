package publisher

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"lovagebank/configurer"
	"lovagebank/storer"
	"lovagebank/wire"
)

// BenchmarkFollowChange is one instance that takes over a change of one adapter among 35,000 from a peer. It reports the
// bytes of the peer's answer, and of the answer to an instance that knows nothing.
func BenchmarkFollowChange(b *testing.B) {
	fs := newFakeStore(1, 0)
	leader := New(Options{
		Get: fs.get, Transact: func(_ context.Context, steps []storer.Step) ([]storer.Entry, error) { return fs.apply(steps) },
		AuditStep: func(_ context.Context, en *wire.AuditEntry) (storer.Step, error) {
			return storer.Swap(fmt.Sprint("audit/", en.RevisionAfter), nil, 0), nil
		},
	})
	follower := New(Options{
		Fetch: func(_ context.Context, _ string, rq *wire.FetchRequest) (*wire.FetchResponse, error) {
			return leader.ServeFetch(rq)
		},
	})
	ch := change("c-0", 0, 10)
	var uses strings.Builder
	uses.WriteString(usesText(10))
	for at := range 35000 {
		fmt.Fprintf(&uses, "[adapter castaneda-parts-%05d]\norganisation = castaneda\nbase = base-%d\ncurrent = v%d\n", at, at%3, at%9)
	}
	ch.Texts[1].Text = uses.String()
	propose(b, leader, ch)
	whole, err := leader.ServeFetch(&wire.FetchRequest{})
	if err != nil {
		b.Fatal(err)
	}
	if err := follower.fetch(b.Context(), ""); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	bytes, changes := 0, uint64(0)
	for b.Loop() {
		b.StopTimer()
		changes++
		text, _ := leader.current.Load().documents.Text(configurer.DocumentUses)
		text = configurer.SetKey(text, "adapter castaneda-parts-17000", "current", fmt.Sprint("w", changes))
		ch := Change{ID: fmt.Sprint("d-", changes), Author: "a", Base: changes, Texts: []Text{{configurer.DocumentUses, text}}}
		propose(b, leader, ch)
		rs, err := leader.ServeFetch(&wire.FetchRequest{HaveRevision: follower.Revision()})
		if err != nil {
			b.Fatal(err)
		}
		bytes += proto.Size(rs)
		b.StartTimer()
		if err := follower.fetch(b.Context(), ""); err != nil || follower.Revision() != leader.Revision() {
			b.Fatal(follower.Revision(), err)
		}
	}
	b.ReportMetric(float64(bytes)/float64(changes), "patch-bytes")
	b.ReportMetric(float64(proto.Size(whole)), "whole-bytes")
	b.ReportMetric(float64(len(ch.Texts[1].Text)), "text-bytes")
}

func propose(b *testing.B, pu *Publisher, ch Change) {
	b.Helper()
	if _, err := pu.Propose(context.Background(), ch); err != nil {
		b.Fatal(err)
	}
}
