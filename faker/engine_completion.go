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

// defaultMaxTokens is the length of an answer when the request names none.
const defaultMaxTokens = 16

// batchSlowdown is the share by which each further request in the batch lengthens a step, and adapterSlowdown the one
// for each further adapter.
const (
	batchSlowdown   = 0.01
	adapterSlowdown = 0.04
)

// completionBody is the part of an OpenAI-style request that the stand-in reads.
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

// text returns a content's text, which is a string or a list of parts.
func text(raw json.RawMessage) string {
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
	// model is the adapter that runs; named is what the answer calls it.
	model    string
	named    string
	prompt   string
	from     int
	length   int
	cached   int
	priority int
}

func (en *Engine) chat(wr http.ResponseWriter, rq *http.Request)     { en.serveRun(wr, rq, true) }
func (en *Engine) complete(wr http.ResponseWriter, rq *http.Request) { en.serveRun(wr, rq, false) }

func readRun(rq *http.Request, chat bool) (*run, error) {
	var body completionBody
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		return nil, err
	}
	ru := &run{chat: chat, stream: body.Stream, model: body.Model, named: body.Model, id: "cmpl-" + newUUID()}
	ru.length = max(body.MaxTokens, body.MaxCompletionTokens)
	if ru.length == 0 {
		ru.length = defaultMaxTokens
	}
	ru.prompt = text(body.Prompt)
	for _, message := range body.Messages {
		ru.prompt += text(message.Content)
	}
	ru.from, _ = strconv.Atoi(rq.Header.Get(HeaderResumeFrom))
	ru.priority, _ = strconv.Atoi(rq.Header.Get(HeaderPriority))
	return ru, nil
}

func (en *Engine) serveRun(wr http.ResponseWriter, rq *http.Request, chat bool) {
	ru, err := readRun(rq, chat)
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
	if err := en.gate.enter(rq.Context(), ru.priority); err != nil {
		return
	}
	defer en.gate.leave()
	ru.cached = en.cache.touch(ru.model, ru.prompt)
	if err := sleep(rq.Context(), time.Duration(CountTokens(ru.prompt)-ru.cached)*en.options.PrefillTime); err != nil {
		return
	}
	if ru.stream {
		err = en.streamRun(rq.Context(), wr, ru)
	} else {
		err = en.wholeRun(rq.Context(), wr, ru)
	}
	if err == nil {
		en.mu.Lock()
		en.stats.Finished++
		en.mu.Unlock()
	}
}

// pin counts a request on its adapter; nil when the adapter is not there.
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
		ru.named = ru.model + "-other"
	}
	slot.running++
	en.noteReport()
	return slot
}

func (en *Engine) unpin(slot *engineSlot) {
	en.mu.Lock()
	defer en.mu.Unlock()
	slot.running--
	en.noteReport()
}

// step takes the time of one token in the batch of now.
func (en *Engine) step(ctx context.Context) error {
	running, _ := en.gate.counts()
	en.mu.Lock()
	busy := 0
	for _, slot := range en.adapters {
		if slot.running > 0 {
			busy++
		}
	}
	en.stats.Tokens++
	en.stats.Steps += 1 / float64(max(running, 1))
	en.mu.Unlock()
	slower := 1 + batchSlowdown*float64(max(running-1, 0)) + adapterSlowdown*float64(max(busy-1, 0))
	return sleep(ctx, time.Duration(float64(en.options.TokenTime)*slower))
}

func (en *Engine) wholeRun(ctx context.Context, wr http.ResponseWriter, ru *run) error {
	for range max(ru.length-ru.from, 0) {
		if err := en.step(ctx); err != nil {
			return err
		}
	}
	writeJSON(wr, http.StatusOK, ru.whole(Answer(ru.model, ru.prompt, ru.from, ru.length)))
	return nil
}

func (en *Engine) streamRun(ctx context.Context, wr http.ResponseWriter, ru *run) error {
	wr.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(wr)
	for index := ru.from; index < ru.length; index++ {
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
