package receiver_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"lovagebank/requester"
)

const chunk = `data: {"id":"c","object":"chat.completion.chunk","model":"parts@3","choices":[{"index":0,"delta":{"content":"WORD "}}]}` + "\n\n"

func answerStream(words []string, err error) func(*requester.Request, requester.Sink) (requester.Usage, error) {
	return func(_ *requester.Request, sink requester.Sink) (requester.Usage, error) {
		if err := sink.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}); err != nil {
			return requester.Usage{}, err
		}
		for _, word := range words {
			if err := sink.Data([]byte(strings.Replace(chunk, "WORD", word, 1))); err != nil {
				return requester.Usage{}, err
			}
		}
		if err != nil {
			return requester.Usage{}, err
		}
		return requester.Usage{}, sink.Data([]byte("data: [DONE]\n\n"))
	}
}

func newClient(t *testing.T, ha *harness) openai.Client {
	t.Helper()
	hs := httptest.NewServer(ha.handler)
	t.Cleanup(hs.Close)
	return openai.NewClient(option.WithBaseURL(hs.URL+"/v1"), option.WithAPIKey(ha.key), option.WithMaxRetries(0))
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "parts",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")},
	}
}

func TestOpenAIClientStreams(t *testing.T) {
	t.Parallel()
	ha := newHarness(t)
	ha.answer = answerStream([]string{"two", "brake", "pads"}, nil)
	client := newClient(t, ha)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	var content strings.Builder
	for stream.Next() {
		content.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if content.String() != "two brake pads " {
		t.Errorf("streamed %q", content.String())
	}
}

func TestOpenAIClientReadsErrors(t *testing.T) {
	t.Parallel()
	ha := newHarness(t)
	client := newClient(t, ha)
	params := chatParams()
	params.Model = "workshop"
	_, err := client.Chat.Completions.New(t.Context(), params)
	var failure *openai.Error
	if !errors.As(err, &failure) || failure.StatusCode != http.StatusForbidden || failure.Code != "not-in-plan" {
		t.Errorf("error %v, want 403 not-in-plan", err)
	}
}

func TestOpenAIClientListsModels(t *testing.T) {
	t.Parallel()
	client := newClient(t, newHarness(t))
	page, err := client.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, model := range page.Data {
		names = append(names, model.ID)
	}
	if got := strings.Join(names, " "); got != "parts shared-faq" {
		t.Errorf("models %q, want those of the plan", got)
	}
}

func TestClientReportsErrorForInterruptedStream(t *testing.T) {
	t.Parallel()
	ha := newHarness(t)
	ha.answer = answerStream([]string{"two"}, requester.RefuseTargetLost("The target was lost."))
	client := newClient(t, ha)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	for stream.Next() {
		_ = stream.Current()
	}
	if stream.Err() == nil {
		t.Error("the client took an interrupted stream for a complete answer")
	}
}

func TestAbortsConnectionForInterruptedAnswer(t *testing.T) {
	t.Parallel()
	ha := newHarness(t)
	ha.answer = func(_ *requester.Request, sink requester.Sink) (requester.Usage, error) {
		_ = sink.Head(http.StatusOK, http.Header{"Content-Type": {"application/json"}})
		_ = sink.Data([]byte(`{"half":`))
		return requester.Usage{}, requester.RefuseTargetLost("The target was lost.")
	}
	hs := httptest.NewServer(ha.handler)
	defer hs.Close()
	hr, err := http.NewRequestWithContext(t.Context(), http.MethodPost, hs.URL+"/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		t.Fatal(err)
	}
	hr.Header.Set("Authorization", "Bearer "+ha.key)
	response, err := http.DefaultClient.Do(hr)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(bufio.NewReader(response.Body)); err == nil {
		t.Error("an interrupted answer ended like a complete one")
	}
}
