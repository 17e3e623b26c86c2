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

// errBroken is an answer that ended before it was whole.
var errBroken = errors.New("the answer was cut off")

// failedStream is a stream that ended with an error, which says that the request may have run.
type failedStream struct {
	code, message string
}

// Error tells the reason.
func (fs *failedStream) Error() string { return fs.code + ": " + fs.message }

// wrongAnswer is an answer that is not the one to the request.
type wrongAnswer struct {
	reason string
}

// Error tells what was wrong.
func (wa *wrongAnswer) Error() string { return wa.reason }

func wrongf(format string, values ...any) error {
	return &wrongAnswer{fmt.Sprintf(format, values...)}
}

// completion is the part of an OpenAI-style answer or chunk that is checked.
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

// checkModel checks that an answer comes from the adapter that was asked for, with a version.
func checkModel(ar *Arrival, model string) error {
	name, version, _ := strings.Cut(model, "@")
	wanted, wantedVersion, _ := strings.Cut(ar.Adapter, "@")
	if name != wanted || version == "" || (wantedVersion != "" && version != wantedVersion) {
		return wrongf("asked %s, answered by %s", ar.Adapter, model)
	}
	return nil
}

// checkWhole checks an answer that came at once.
func checkWhole(ar *Arrival, body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return errBroken
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

// checkStream checks a streamed answer token by token and returns when the first token came.
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
			return first, &failedStream{code, message}
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
	return first, errBroken
}

// checkText checks the text of a stream that ended well.
func checkText(ar *Arrival, model, text string) error {
	if want := faker.Answer(model, ar.Prompt, 0, ar.Kind.MaxTokens); text != want {
		return wrongf("%s streamed %.80q, want %.80q", model, text, want)
	}
	return nil
}

// checkService checks a plain service's answer.
func checkService(ar *Arrival, body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return errBroken
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
