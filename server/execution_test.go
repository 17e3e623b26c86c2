package server

import (
	"net/http"
	"testing"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

func TestRefusalSurvivesWireRoundTrip(t *testing.T) {
	t.Parallel()
	tests := map[string]*requester.Refusal{
		"not run":         requester.Refuse(requester.CodeQueueFull, "Full.", 1500*time.Millisecond),
		"unknown":         requester.RefuseUnknown(requester.CodeTargetFailed, "Failed.", time.Second),
		"lost":            requester.RefuseTargetLost("Gone."),
		"no retry":        requester.Refuse(requester.CodeQuarantined, "Stopped.", 0),
		"wrong adapter":   requester.RefuseUnknown(requester.CodeWrongAdapter, "Other adapter.", 0),
		"deadline passed": requester.Refuse(requester.CodeDeadline, "Too late.", 0),
	}
	for name, rf := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := refusalFromWire(failureToWire(rf)); *got != *rf {
				t.Errorf("%+v became %+v", rf, got)
			}
		})
	}
}

func TestRequestSurvivesWireRoundTrip(t *testing.T) {
	t.Parallel()
	before := requester.New(requester.Fields{
		ID: "r1", Organisation: "castaneda", Kind: requester.KindCompletion, Adapter: "parts", Version: "3", Base: "base-7b",
		Method: http.MethodPost, Path: "/v1/completions", Header: http.Header{"Accept": {"a", "b"}}, Body: []byte("{}"),
		Stream: true, PromptTokens: 5, MaxTokens: 7, Urgency: requester.UrgencyDeferrable, Deadline: time.Now().Add(time.Minute),
		Weight: 2.5, Repeatable: true, Fingerprint: "f", ResumeFrom: 4, Attempt: 2,
	})
	after := requestFromWire(newExecuteRequest(&wire.Target{Id: "e1"}, before))
	same := map[string]bool{
		"id":           after.ID() == before.ID(),
		"organisation": after.Organisation() == before.Organisation(),
		"kind":         after.Kind() == before.Kind(),
		"model":        after.Model() == before.Model(),
		"base":         after.Base() == before.Base(),
		"method":       after.Method() == before.Method(),
		"path":         after.Path() == before.Path(),
		"header":       len(after.Header().Values("Accept")) == 2,
		"body":         string(after.Body()) == string(before.Body()),
		"stream":       after.Stream(),
		"cost":         after.Cost() == before.Cost(),
		"urgency":      after.Urgency() == before.Urgency(),
		"weight":       after.Weight() == before.Weight(),
		"repeatable":   after.Repeatable(),
		"fingerprint":  after.Fingerprint() == before.Fingerprint(),
		"resume":       after.ResumeFrom() == before.ResumeFrom(),
		"attempt":      after.Attempt() == before.Attempt(),
	}
	for name, kept := range same {
		if !kept {
			t.Errorf("%s changed", name)
		}
	}
	if left := time.Until(before.Deadline()) - time.Until(after.Deadline()); left < -time.Second || left > time.Second {
		t.Errorf("deadline moved by %s", left)
	}
}

func TestUsageSurvivesWireRoundTrip(t *testing.T) {
	t.Parallel()
	us := requester.NewUsage(3, 4, "parts", "3", 5*time.Millisecond, 2*time.Millisecond)
	if got := usageFromWire(usageToWire(us)); got != us {
		t.Errorf("%+v became %+v", us, got)
	}
}
