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

// Verdict is what became of a request.
type Verdict string

// The verdicts.
const (
	// VerdictDone is a whole and right answer.
	VerdictDone Verdict = "done"
	// VerdictNotRun is a refusal that says the request did not run.
	VerdictNotRun Verdict = "not-run"
	// VerdictUnknown is a refusal that does not say so.
	VerdictUnknown Verdict = "unknown"
	// VerdictBroken is an answer that never came or was cut off.
	VerdictBroken Verdict = "broken"
	// VerdictWrong is an answer that is not the one to the request.
	VerdictWrong Verdict = "wrong"
)

// attempt is one call for a request.
type attempt struct {
	verdict Verdict
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
			return attempt{verdict: VerdictBroken, detail: err.Error()}
		}
		answer, err := dr.client.Do(rq)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return attempt{verdict: VerdictBroken, detail: err.Error(), cut: true}
		}
		at := judge(ar, answer)
		_ = answer.Body.Close()
		return at
	}
	return attempt{verdict: VerdictNotRun, code: "no-connection"}
}

// judge checks an answer.
func judge(ar *Arrival, answer *http.Response) attempt {
	at := attempt{status: answer.StatusCode, first: time.Now()}
	if answer.StatusCode != http.StatusOK {
		var body refusalBody
		_ = json.NewDecoder(answer.Body).Decode(&body)
		at.code, at.detail, at.verdict = body.Error.Code, body.Error.Message, VerdictUnknown
		if answer.Header.Get(headerOutcome) == string(VerdictNotRun) {
			at.verdict = VerdictNotRun
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
	at.verdict = VerdictDone
	var wrong *wrongAnswer
	var failed *failedStream
	switch {
	case errors.As(err, &wrong):
		at.verdict, at.detail = VerdictWrong, wrong.reason
	case errors.As(err, &failed):
		at.verdict, at.code, at.detail, at.cut = VerdictUnknown, failed.code, failed.message, true
	case err != nil:
		at.verdict, at.detail, at.cut = VerdictBroken, err.Error(), true
	}
	return at
}
