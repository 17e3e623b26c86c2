package receiver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"lovagebank/requester"
)

// bytesPerToken estimates a prompt's length before a target has counted it.
const bytesPerToken = 4

const maxNameLength = 200

// modelRequest is what a model request's body says, as far as routing and charging need it.
type modelRequest struct {
	adapter      string
	version      string
	stream       bool
	promptTokens int64
	maxTokens    int64
	fields       map[string]json.RawMessage
}

// parseModelRequest reads the JSON body of a model request. Every error is a refusal.
func parseModelRequest(body []byte, kind requester.Kind, lim Limits) (modelRequest, error) {
	fields, err := parseObject(body)
	if err != nil {
		return modelRequest{}, badRequest(err.Error())
	}
	mr := modelRequest{fields: fields, promptTokens: int64(len(body)+bytesPerToken-1) / bytesPerToken}
	if err := mr.readModel(); err != nil {
		return modelRequest{}, err
	}
	if err := mr.readPrompt(kind); err != nil {
		return modelRequest{}, err
	}
	if err := mr.readStream(); err != nil {
		return modelRequest{}, err
	}
	if err := mr.readMaxTokens(lim); err != nil {
		return modelRequest{}, err
	}
	return mr, nil
}

// parseObject reads one JSON object. Doubled keys are an error, since a target might read the other value.
func parseObject(body []byte) (map[string]json.RawMessage, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("the body is not UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	opening, err := dec.Token()
	if err != nil || opening != json.Delim('{') {
		return nil, errors.New("the body is not a JSON object")
	}
	fields := make(map[string]json.RawMessage)
	for dec.More() {
		if err := readField(dec, fields); err != nil {
			return nil, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, errors.New("the JSON object is cut short")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("something follows the JSON object")
	}
	return fields, nil
}

func readField(dec *json.Decoder, fields map[string]json.RawMessage) error {
	token, err := dec.Token()
	name, isName := token.(string)
	if err != nil || !isName {
		return errors.New("the body is not valid JSON")
	}
	for known := range fields {
		if strings.EqualFold(known, name) {
			return fmt.Errorf("the field %q stands twice", name)
		}
	}
	var value json.RawMessage
	if err := dec.Decode(&value); err != nil {
		return fmt.Errorf("the field %q is not valid JSON", name)
	}
	fields[name] = value
	return nil
}

func (mr *modelRequest) readModel() error {
	var model string
	if err := json.Unmarshal(mr.fields["model"], &model); err != nil {
		return badRequest("the field \"model\" must be a string")
	}
	adapter, version, hasVersion := strings.Cut(model, "@")
	if !plainName(adapter) || (hasVersion && !plainName(version)) {
		return badRequest("the field \"model\" must be adapter or adapter@version")
	}
	mr.adapter, mr.version = adapter, version
	return nil
}

func plainName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, ch := range name {
		if ch <= ' ' || ch > '~' || ch == '@' {
			return false
		}
	}
	return true
}

func (mr *modelRequest) readPrompt(kind requester.Kind) error {
	name := "prompt"
	if kind == requester.KindChat {
		name = "messages"
	}
	if raw := mr.fields[name]; len(raw) == 0 || string(raw) == "null" {
		return badRequest(fmt.Sprintf("the field %q is missing", name))
	}
	if raw := mr.fields["messages"]; kind == requester.KindChat && raw[0] != '[' {
		return badRequest("the field \"messages\" must be a list")
	}
	return nil
}

func (mr *modelRequest) readStream() error {
	if err := mr.optional("stream", &mr.stream); err != nil {
		return badRequest("the field \"stream\" must be true or false")
	}
	return nil
}

// readMaxTokens bounds what may be generated, and writes the bound into the body, so that the charge is an upper limit.
func (mr *modelRequest) readMaxTokens(lim Limits) error {
	choices := int64(1)
	if err := mr.optional("n", &choices); err != nil || choices < 1 || choices > lim.MaxTokens {
		return badRequest("the field \"n\" must be a whole number from 1")
	}
	most := lim.DefaultMaxTokens
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := mr.optional(name, &most); err != nil || most < 1 || most > lim.MaxTokens {
			return badRequest(fmt.Sprintf("the field %q must be a whole number from 1 to %d", name, lim.MaxTokens))
		}
	}
	encoded, err := json.Marshal(most)
	if err != nil {
		return badRequest("the bound on tokens can't be encoded")
	}
	mr.fields["max_tokens"] = encoded
	if _, named := mr.fields["max_completion_tokens"]; named {
		mr.fields["max_completion_tokens"] = encoded
	}
	if most > lim.MaxTokens/choices {
		return badRequest(fmt.Sprintf("all choices together may generate %d tokens", lim.MaxTokens))
	}
	mr.maxTokens = most * choices
	return nil
}

func (mr *modelRequest) optional(name string, into any) error {
	raw, named := mr.fields[name]
	if !named || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("field %s: %w", name, err)
	}
	return nil
}

// encode returns the body for the target, with the model's full name.
func (mr *modelRequest) encode(model string) ([]byte, error) {
	encoded, err := json.Marshal(model)
	if err != nil {
		return nil, badRequest("the field \"model\" can't be encoded")
	}
	mr.fields["model"] = encoded
	body, err := json.Marshal(mr.fields)
	if err != nil {
		return nil, badRequest("the body can't be encoded")
	}
	return body, nil
}

func badRequest(message string) *requester.Refusal {
	return requester.Refuse(requester.CodeBadRequest, sentence(message), 0)
}

// sentence turns an error text into one for callers.
func sentence(message string) string {
	return strings.ToUpper(message[:1]) + message[1:] + "."
}
