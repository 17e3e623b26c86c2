package explainer_test

import (
	"context"
	"strconv"
	"testing"

	"lovagebank/explainer"
	"lovagebank/requester"
)

func TestRingKeepsLatest(t *testing.T) {
	t.Parallel()
	ex := explainer.New(3)
	for id := range 5 {
		ctx, _ := ex.StartTrace(context.Background(), requester.New(requester.Fields{ID: strconv.Itoa(id), Adapter: "parts", Version: "2"}))
		explainer.FromContext(ctx).AddStep("placer", "Chose e"+strconv.Itoa(id)+".")
	}
	for id := range 5 {
		tr, ok := ex.Find(strconv.Itoa(id))
		if want := id >= 2; ok != want {
			t.Errorf("request %d kept = %v, want %v", id, ok, want)
		}
		if ok && (tr.Model() != "parts@2" || len(tr.Steps()) != 1 || tr.Steps()[0].Text() != "Chose e"+strconv.Itoa(id)+".") {
			t.Errorf("request %d: model %q, steps %v", id, tr.Model(), tr.Steps())
		}
	}
}

func TestNoteWithoutTrace(t *testing.T) {
	t.Parallel()
	tr := explainer.FromContext(context.Background())
	tr.AddStep("placer", "Nobody listens.")
	if tr != nil {
		t.Error("a context without a trace has one")
	}
}
