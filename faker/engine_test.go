package faker

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestEngineServesLoadedAdaptersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		en := NewEngine(EngineOptions{Base: "base", Slots: 1, TokenTime: time.Millisecond})
		ask := `{"model":"stock@3","messages":[{"role":"user","content":"two oil filters"}],"max_tokens":3}`
		if wr := call(en, "POST", "/v1/chat/completions", ask); wr.Code != http.StatusNotFound {
			t.Errorf("request for an adapter that is not loaded: status %d", wr.Code)
		}
		began := time.Now()
		if wr := call(en, "POST", "/v1/load_lora_adapter", `{"lora_name":"stock@3"}`); wr.Code != http.StatusOK {
			t.Fatalf("load: status %d, body %s", wr.Code, wr.Body)
		}
		if took := time.Since(began); took != loadTime {
			t.Errorf("load took %s", took)
		}
		if wr := call(en, "POST", "/v1/load_lora_adapter", `{"lora_name":"other@1"}`); wr.Code != http.StatusConflict {
			t.Errorf("load without a free slot: status %d", wr.Code)
		}
		whole := call(en, "POST", "/v1/chat/completions", ask).Body.String()
		want := Answer("stock@3", "two oil filters", 0, 3)
		if !strings.Contains(whole, want) || !strings.Contains(whole, `"model":"stock@3"`) {
			t.Errorf("got %s, want %s", whole, want)
		}
		stream := call(en, "POST", "/v1/chat/completions", strings.Replace(ask, "{", `{"stream":true,`, 1)).Body.String()
		for index := range 3 {
			if !strings.Contains(stream, Token("stock@3", "two oil filters", index)) {
				t.Errorf("token %d is missing in stream %s", index, stream)
			}
		}
		if !strings.HasSuffix(stream, "data: [DONE]\n\n") {
			t.Errorf("stream %s does not end with [DONE]", stream)
		}
		call(en, "POST", "/v1/unload_lora_adapter", `{"lora_name":"stock@3"}`)
		if wr := call(en, "POST", "/v1/chat/completions", ask); wr.Code != http.StatusNotFound {
			t.Errorf("request for an unloaded adapter: status %d", wr.Code)
		}
	})
}
