package loader

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"lovagebank/faker"
)

// errCutOff is returned for an answer that ended before it was complete.
var errCutOff = errors.New("the answer was cut off")

// streamError is an error event that ended a stream. The request may have run.
type streamError struct {
	code, message string
}

// Error returns the error code and the message.
func (se *streamError) Error() string { return se.code + ": " + se.message }

// wrongAnswerError is returned for an answer that does not match the request.
type wrongAnswerError struct {
	reason string
}

// Error returns the mismatch.
func (we *wrongAnswerError) Error() string { return we.reason }

func wrongf(format string, values ...any) error {
	return &wrongAnswerError{fmt.Sprintf(format, values...)}
}

// completion holds the checked fields of an OpenAI-style completion or chunk.
type completion struct {
	refusalBody
	Model   string `json:"model"`
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// checkModel checks that the model name of an answer is the requested adapter with a version, and with the requested
// version if the request names one.
func checkModel(ar *Arrival, model string) error {
	name, version, _ := strings.Cut(model, "@")
	wanted, wantedVersion, _ := strings.Cut(ar.Adapter, "@")
	if name != wanted || version == "" || (wantedVersion != "" && version != wantedVersion) {
		return wrongf("requested %s, answered by %s", ar.Adapter, model)
	}
	return nil
}

// checkCompletion checks an answer that is not streamed.
func checkCompletion(ar *Arrival, body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return errCutOff
	}
	var answer completion
	if err := json.Unmarshal(content, &answer); err != nil || len(answer.Choices) != 1 {
		return wrongf("not a completion: %.80s", content)
	}
	if err := checkModel(ar, answer.Model); err != nil {
		return err
	}
	if want := faker.Answer(answer.Model, ar.Prompt, 0, ar.Kind.MaxTokens); answer.Choices[0].Message.Content != want {
		return wrongf("%s answered %.80q, want %.80q", answer.Model, answer.Choices[0].Message.Content, want)
	}
	return nil
}

// The framing of server-sent events.
const (
	eventPrefix = "data: "
	eventEnd    = "[DONE]"
)

// checkStream checks a streamed answer and returns the arrival time of its first chunk.
func checkStream(ar *Arrival, body io.Reader) (first time.Time, err error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	text, model := "", ""
	for lines.Scan() {
		event, found := strings.CutPrefix(lines.Text(), eventPrefix)
		if !found {
			continue
		}
		if event == eventEnd {
			return first, checkText(ar, model, text)
		}
		var chunk completion
		if err := json.Unmarshal([]byte(event), &chunk); err != nil {
			return first, wrongf("not a chunk: %.80s", event)
		}
		if code, message := chunk.Error.Code, chunk.Error.Message; code+message != "" {
			return first, &streamError{code, message}
		}
		if model != "" && chunk.Model != model {
			return first, wrongf("the stream changed from %s to %s", model, chunk.Model)
		}
		if model == "" {
			first, model = time.Now(), chunk.Model
		}
		if err := checkModel(ar, model); err != nil {
			return first, err
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	return first, errCutOff
}

// checkText checks the text of a complete stream.
func checkText(ar *Arrival, model, text string) error {
	if want := faker.Answer(model, ar.Prompt, 0, ar.Kind.MaxTokens); text != want {
		return wrongf("%s streamed %.80q, want %.80q", model, text, want)
	}
	return nil
}

// checkService checks the answer of a plain service. An order must have run exactly once under its idempotency key.
func checkService(ar *Arrival, body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return errCutOff
	}
	var answer faker.WorkerAnswer
	if err := json.Unmarshal(content, &answer); err != nil {
		return wrongf("not a worker's answer: %.80s", content)
	}
	if answer.Organisation != ar.Organisation.Name || answer.Body != ar.ID {
		return wrongf("%s of %s was answered with %s of %s", ar.ID, ar.Organisation.Name, answer.Body, answer.Organisation)
	}
	if ar.Kind.Name == KindOrder && (answer.IdempotencyKey != ar.ID || answer.Run != 1) {
		return wrongf("order %s was answered with run %d of %s", ar.ID, answer.Run, answer.IdempotencyKey)
	}
	return nil
}
