package faker

// completionUsage holds the token counts of a response in OpenAI's format.
type completionUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// finishReasonLength is the finish reason of every answer, as the engine always generates the maximum number of tokens.
const finishReasonLength = "length"

// answer returns a response without choices, with the usage after the given number of generated tokens.
func (ru *run) answer(object string, generated int) completionAnswer {
	prompt := CountTokens(ru.prompt)
	return completionAnswer{
		ID: ru.id, Object: object, Model: ru.reportedModel,
		Usage: completionUsage{
			PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated,
			Details: promptDetails{ru.cached},
		},
	}
}

// fullAnswer returns the response to a request that is not streamed.
func (ru *run) fullAnswer(content string) completionAnswer {
	reason := finishReasonLength
	choice := completionChoice{FinishReason: &reason}
	object := "text_completion"
	if ru.chat {
		object = "chat.completion"
		choice.Message = &answerMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	answer := ru.answer(object, ru.length)
	answer.Choices = []completionChoice{choice}
	return answer
}

// chunk returns the streamed response chunk of one token.
func (ru *run) chunk(index int) completionAnswer {
	token := Token(ru.model, ru.prompt, index)
	choice := completionChoice{}
	if index == ru.length-1 {
		reason := finishReasonLength
		choice.FinishReason = &reason
	}
	object := "text_completion"
	if ru.chat {
		object = "chat.completion.chunk"
		choice.Delta = &answerMessage{Content: token}
		if index == 0 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &token
	}
	answer := ru.answer(object, index+1)
	answer.Choices = []completionChoice{choice}
	return answer
}
