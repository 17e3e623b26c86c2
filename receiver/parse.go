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

// bytesPerToken is used to estimate the prompt's length in tokens until a target has counted it.
const bytesPerToken = 4

// maxNameBytes is the longest adapter name or version, in bytes.
const maxNameBytes = 200

// modelRequest holds the fields of a model request's body that routing and charging use, and all fields as sent.
type modelRequest struct {
	adapter      string
	version      string
	stream       bool
	promptTokens int64
	maxTokens    int64
	fields       map[string]json.RawMessage
}

// parseModelRequest parses the JSON body of a model request. Every error is a *requester.Refusal.
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

// parseObject parses a body that consists of one JSON object. Duplicate keys are an error, because a target might use
// the other value.
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

// readField reads one field of an object. Names that differ only in case count as duplicates.
func readField(dec *json.Decoder, fields map[string]json.RawMessage) error {
	token, err := dec.Token()
	name, isName := token.(string)
	if err != nil || !isName {
		return errors.New("the body is not valid JSON")
	}
	for existing := range fields {
		if strings.EqualFold(existing, name) {
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
	if !isValidName(adapter) || (hasVersion && !isValidName(version)) {
		return badRequest("the field \"model\" must be adapter or adapter@version")
	}
	mr.adapter, mr.version = adapter, version
	return nil
}

func isValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
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
	if err := mr.decodeOptional("stream", &mr.stream); err != nil {
		return badRequest("the field \"stream\" must be true or false")
	}
	return nil
}

// readMaxTokens reads the limit on generated tokens, or the default if there is none, and writes it into the body, so
// that the charge is an upper bound of what the target can generate.
func (mr *modelRequest) readMaxTokens(lim Limits) error {
	choices := int64(1)
	if err := mr.decodeOptional("n", &choices); err != nil || choices < 1 || choices > lim.MaxTokens {
		return badRequest("the field \"n\" must be a whole number from 1")
	}
	maxTokens := lim.DefaultMaxTokens
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := mr.decodeOptional(name, &maxTokens); err != nil || maxTokens < 1 || maxTokens > lim.MaxTokens {
			return badRequest(fmt.Sprintf("the field %q must be a whole number from 1 to %d", name, lim.MaxTokens))
		}
	}
	encodedMax, err := json.Marshal(maxTokens)
	if err != nil {
		return badRequest("the bound on tokens can't be encoded")
	}
	mr.fields["max_tokens"] = encodedMax
	if _, present := mr.fields["max_completion_tokens"]; present {
		mr.fields["max_completion_tokens"] = encodedMax
	}
	if maxTokens > lim.MaxTokens/choices {
		return badRequest(fmt.Sprintf("all choices together may generate %d tokens", lim.MaxTokens))
	}
	mr.maxTokens = maxTokens * choices
	return nil
}

// decodeOptional decodes a field into a value, which stays unchanged if the field is absent or null.
func (mr *modelRequest) decodeOptional(name string, value any) error {
	raw, present := mr.fields[name]
	if !present || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("field %s: %w", name, err)
	}
	return nil
}

// encode returns the body for the target, with the model's full name in the form adapter@version.
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
	return requester.Refuse(requester.CodeBadRequest, toSentence(message), 0)
}

// toSentence capitalises an error text and adds a full stop, for a message to a caller.
func toSentence(message string) string {
	return strings.ToUpper(message[:1]) + message[1:] + "."
}
