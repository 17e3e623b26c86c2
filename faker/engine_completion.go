package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// defaultMaxTokens is the number of tokens in an answer when the request sets no maximum.
const defaultMaxTokens = 16

// batchSlowdown is the fraction of TokenTime that each further request in the batch adds to a step. adapterSlowdown is
// the fraction that each further adapter in use adds.
const (
	batchSlowdown   = 0.01
	adapterSlowdown = 0.04
)

// completionBody holds the fields of an OpenAI-style request that the engine uses.
type completionBody struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// contentText returns the text of a message or prompt, which is encoded as a string or as a list of parts.
func contentText(raw json.RawMessage) string {
	var whole string
	if err := json.Unmarshal(raw, &whole); err == nil {
		return whole
	}
	var parts []contentPart
	_ = json.Unmarshal(raw, &parts)
	var joined strings.Builder
	for _, part := range parts {
		joined.WriteString(part.Text)
	}
	return joined.String()
}

// run is one completion in progress.
type run struct {
	chat   bool
	stream bool
	id     string
	// model is the adapter that runs; reportedModel is its name in the response.
	model         string
	reportedModel string
	prompt        string
	resumeFrom    int
	length        int
	cached        int
	priority      int
}

func (en *Engine) chat(wr http.ResponseWriter, rq *http.Request)     { en.serveRun(wr, rq, true) }
func (en *Engine) complete(wr http.ResponseWriter, rq *http.Request) { en.serveRun(wr, rq, false) }

func parseRun(rq *http.Request, chat bool) (*run, error) {
	var body completionBody
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		return nil, err
	}
	ru := &run{chat: chat, stream: body.Stream, model: body.Model, reportedModel: body.Model, id: "cmpl-" + newUUID()}
	ru.length = max(body.MaxTokens, body.MaxCompletionTokens)
	if ru.length == 0 {
		ru.length = defaultMaxTokens
	}
	ru.prompt = contentText(body.Prompt)
	for _, message := range body.Messages {
		ru.prompt += contentText(message.Content)
	}
	ru.resumeFrom, _ = strconv.Atoi(rq.Header.Get(HeaderResumeFrom))
	ru.priority, _ = strconv.Atoi(rq.Header.Get(HeaderPriority))
	return ru, nil
}

func (en *Engine) serveRun(wr http.ResponseWriter, rq *http.Request, chat bool) {
	ru, err := parseRun(rq, chat)
	if err != nil {
		engineError(wr, http.StatusBadRequest, err.Error())
		return
	}
	if en.poisoned(ru.prompt) {
		en.Crash()
		return
	}
	slot := en.pin(ru, rq)
	if slot == nil {
		engineError(wr, http.StatusNotFound, fmt.Sprintf("The model `%s` does not exist.", ru.model))
		return
	}
	defer en.unpin(slot)
	if err := en.batch.acquire(rq.Context(), ru.priority); err != nil {
		return
	}
	defer en.batch.release()
	ru.cached = en.cache.touch(ru.model, ru.prompt)
	if err := sleep(rq.Context(), time.Duration(CountTokens(ru.prompt)-ru.cached)*en.options.PrefillTime); err != nil {
		return
	}
	if ru.stream {
		err = en.sendStream(rq.Context(), wr, ru)
	} else {
		err = en.sendFull(rq.Context(), wr, ru)
	}
	if err == nil {
		en.mu.Lock()
		en.stats.Finished++
		en.mu.Unlock()
	}
}

// pin counts a request as running on its adapter and returns the adapter's slot, or nil when it is not loaded.
func (en *Engine) pin(ru *run, rq *http.Request) *engineSlot {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.stats.Requests++
	if rq.Header.Get("Authorization") != "" {
		en.stats.KeysSeen++
	}
	slot := en.adapters[ru.model]
	if ru.model == en.options.Base {
		slot = &engineSlot{state: slotLoaded}
	}
	if slot == nil || slot.state != slotLoaded {
		en.stats.NotLoaded++
		return nil
	}
	if en.faults.wrongVersion {
		ru.reportedModel = ru.model + "-other"
	}
	slot.running++
	en.recordReport()
	return slot
}

func (en *Engine) unpin(slot *engineSlot) {
	en.mu.Lock()
	defer en.mu.Unlock()
	slot.running--
	en.recordReport()
}

// step waits for the time of one token under the current batch size and number of adapters in use.
func (en *Engine) step(ctx context.Context) error {
	running, _ := en.batch.counts()
	en.mu.Lock()
	inUse := 0
	for _, slot := range en.adapters {
		if slot.running > 0 {
			inUse++
		}
	}
	en.stats.Tokens++
	en.stats.Steps += 1 / float64(max(running, 1))
	en.mu.Unlock()
	slowdown := 1 + batchSlowdown*float64(max(running-1, 0)) + adapterSlowdown*float64(max(inUse-1, 0))
	return sleep(ctx, time.Duration(float64(en.options.TokenTime)*slowdown))
}

func (en *Engine) sendFull(ctx context.Context, wr http.ResponseWriter, ru *run) error {
	for range max(ru.length-ru.resumeFrom, 0) {
		if err := en.step(ctx); err != nil {
			return err
		}
	}
	writeJSON(wr, http.StatusOK, ru.fullAnswer(Answer(ru.model, ru.prompt, ru.resumeFrom, ru.length)))
	return nil
}

func (en *Engine) sendStream(ctx context.Context, wr http.ResponseWriter, ru *run) error {
	wr.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(wr)
	for index := ru.resumeFrom; index < ru.length; index++ {
		if err := en.step(ctx); err != nil {
			return err
		}
		if err := writeEvent(wr, ru.chunk(index)); err != nil {
			return err
		}
		_ = flusher.Flush()
	}
	_, err := fmt.Fprint(wr, "data: [DONE]\n\n")
	return err
}

func writeEvent(wr http.ResponseWriter, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(wr, "data: %s\n\n", encoded)
	return err
}
