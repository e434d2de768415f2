package ingress

import "tanagerspread/client/engine"

// answer is a completion response, whole or one chunk of a stream.
type answer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index        int         `json:"index"`
	Text         *string     `json:"text,omitempty"`
	Message      *chatAnswer `json:"message,omitempty"`
	Delta        *chatAnswer `json:"delta,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

type chatAnswer struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// wholeOf renders the whole response.
func wholeOf(s *sink) answer {
	text := s.text.String()
	reason := s.reason
	a := answer{ID: string(s.id), Object: "text_completion", Model: s.call.Model, Usage: &s.usage}
	c := choice{FinishReason: &reason}
	if s.call.Chat {
		a.Object = "chat.completion"
		c.Message = &chatAnswer{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a.Choices = []choice{c}
	return a
}

// chunkOf renders one chunk of a stream. The last chunk has a finish reason
// and the usage.
func chunkOf(s *sink, text string, reason *string) answer {
	a := answer{ID: string(s.id), Object: "text_completion", Model: s.call.Model}
	c := choice{FinishReason: reason}
	if s.call.Chat {
		a.Object = "chat.completion.chunk"
		c.Delta = &chatAnswer{Content: text}
	} else {
		c.Text = &text
	}
	if reason != nil {
		a.Usage = &s.usage
	}
	a.Choices = []choice{c}
	return a
}
