package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"
)

// headerOutcome carries a refusal's outcome.
const headerOutcome = "Lovagebank-Outcome"

// Outcome is what became of a request.
type Outcome string

// The verdicts.
const (
	// OutcomeDone is a whole and right answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun is a refusal that says the request did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown is a refusal that does not say so.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeBroken is an answer that never came or was cut off.
	OutcomeBroken Outcome = "broken"
	// OutcomeWrong is an answer that is not the one to the request.
	OutcomeWrong Outcome = "wrong"
)

// attempt is one call for a request.
type attempt struct {
	verdict Outcome
	// code is the refusal's reason, detail what was wrong.
	code   string
	detail string
	status int
	first  time.Time
	// cut tells that an answer ended before it was whole, or never came.
	cut bool
}

// chatBody is an OpenAI-style chat request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// refusalBody is an error in OpenAI's shape.
type refusalBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// newRequest makes the HTTP request of an arrival.
func newRequest(ctx context.Context, ar *Arrival, url string) (*http.Request, error) {
	target, body := url+"/v1/chat/completions", []byte(ar.ID)
	if ar.Adapter == "" {
		service := ar.Kind.Service
		if ar.Kind.Name == KindOrder {
			service = ar.Organisation.OrderService
		}
		target = url + "/services/" + service + "/" + string(ar.Kind.Name)
	} else {
		messages := []chatMessage{{"user", ar.Prompt}}
		var err error
		body, err = json.Marshal(chatBody{ar.Adapter, messages, ar.Kind.MaxTokens, ar.Kind.Stream})
		if err != nil {
			return nil, err
		}
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	rq.Header.Set("Content-Type", "application/json")
	if due, ok := ctx.Deadline(); ok {
		rq.Header.Set("Lovagebank-Deadline", max(time.Until(due)-deadlineGrace, time.Millisecond).String())
	}
	rq.Header.Set("Authorization", "Bearer "+ar.Organisation.Key)
	if ar.Kind.Name == KindOrder {
		rq.Header.Set("Idempotency-Key", ar.ID)
	}
	return rq, nil
}

// send makes one call; when no connection can be made it goes to other instances, as a balancer does.
func (dr *Driver) send(ctx context.Context, ar *Arrival) attempt {
	for range dr.balancer.urls {
		rq, err := newRequest(ctx, ar, dr.balancer.pick())
		if err != nil {
			return attempt{verdict: OutcomeBroken, detail: err.Error()}
		}
		answer, err := dr.client.Do(rq)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return attempt{verdict: OutcomeBroken, detail: err.Error(), cut: true}
		}
		at := judge(ar, answer)
		_ = answer.Body.Close()
		return at
	}
	return attempt{verdict: OutcomeNotRun, code: "no-connection"}
}

// judge checks an answer.
func judge(ar *Arrival, answer *http.Response) attempt {
	at := attempt{status: answer.StatusCode, first: time.Now()}
	if answer.StatusCode != http.StatusOK {
		var body refusalBody
		_ = json.NewDecoder(answer.Body).Decode(&body)
		at.code, at.detail, at.verdict = body.Error.Code, body.Error.Message, OutcomeUnknown
		if answer.Header.Get(headerOutcome) == string(OutcomeNotRun) {
			at.verdict = OutcomeNotRun
		}
		return at
	}
	var err error
	switch {
	case ar.Adapter == "":
		err = checkService(ar, answer.Body)
	case ar.Kind.Stream:
		at.first, err = checkStream(ar, answer.Body)
	default:
		err = checkWhole(ar, answer.Body)
	}
	at.verdict = OutcomeDone
	var wrong *wrongAnswer
	var failed *failedStream
	switch {
	case errors.As(err, &wrong):
		at.verdict, at.detail = OutcomeWrong, wrong.reason
	case errors.As(err, &failed):
		at.verdict, at.code, at.detail, at.cut = OutcomeUnknown, failed.code, failed.message, true
	case err != nil:
		at.verdict, at.detail, at.cut = OutcomeBroken, err.Error(), true
	}
	return at
}
