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

// headerOutcome is the response header of a refusal that says whether the request was run.
const headerOutcome = "Lovagebank-Outcome"

// Outcome is the outcome of a request.
type Outcome string

// The outcomes.
const (
	// OutcomeDone is a complete and correct answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun is a refusal that states that the request did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown is a refusal that does not state whether the request ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeBroken is an answer that was cut off or never arrived.
	OutcomeBroken Outcome = "broken"
	// OutcomeWrong is an answer that does not match the request.
	OutcomeWrong Outcome = "wrong"
)

// attempt is the result of one HTTP call for a request.
type attempt struct {
	outcome Outcome
	// code is the error code of a refusal. detail is its message, or describes the error.
	code         string
	detail       string
	status       int
	firstTokenAt time.Time
	// cutOff reports whether the answer ended before it was complete, or never arrived.
	cutOff bool
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

// refusalBody is an OpenAI-style error response.
type refusalBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// newRequest returns the HTTP request of an arrival, addressed to the instance at the base URL.
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

// send makes one attempt. If it cannot connect to an instance, it tries the next instance, as a load balancer does.
func (dr *Driver) send(ctx context.Context, ar *Arrival) attempt {
	for range dr.balancer.urls {
		rq, err := newRequest(ctx, ar, dr.balancer.pick())
		if err != nil {
			return attempt{outcome: OutcomeBroken, detail: err.Error()}
		}
		answer, err := dr.client.Do(rq)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return attempt{outcome: OutcomeBroken, detail: err.Error(), cutOff: true}
		}
		at := checkResponse(ar, answer)
		_ = answer.Body.Close()
		return at
	}
	return attempt{outcome: OutcomeNotRun, code: "no-connection"}
}

// checkResponse checks a response against its arrival.
func checkResponse(ar *Arrival, answer *http.Response) attempt {
	at := attempt{status: answer.StatusCode, firstTokenAt: time.Now()}
	if answer.StatusCode != http.StatusOK {
		var body refusalBody
		_ = json.NewDecoder(answer.Body).Decode(&body)
		at.code, at.detail, at.outcome = body.Error.Code, body.Error.Message, OutcomeUnknown
		if answer.Header.Get(headerOutcome) == string(OutcomeNotRun) {
			at.outcome = OutcomeNotRun
		}
		return at
	}
	var err error
	switch {
	case ar.Adapter == "":
		err = checkService(ar, answer.Body)
	case ar.Kind.Stream:
		at.firstTokenAt, err = checkStream(ar, answer.Body)
	default:
		err = checkCompletion(ar, answer.Body)
	}
	at.outcome = OutcomeDone
	var wrong *wrongAnswerError
	var failed *streamError
	switch {
	case errors.As(err, &wrong):
		at.outcome, at.detail = OutcomeWrong, wrong.reason
	case errors.As(err, &failed):
		at.outcome, at.code, at.detail, at.cutOff = OutcomeUnknown, failed.code, failed.message, true
	case err != nil:
		at.outcome, at.detail, at.cutOff = OutcomeBroken, err.Error(), true
	}
	return at
}
