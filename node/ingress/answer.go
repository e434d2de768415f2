package ingress

import "tanagerspread/client/engine"

// completionResponse is a complete completion response or one chunk of a stream.
type completionResponse struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// newCompletionResponse returns the complete response that the writer has received.
func newCompletionResponse(writer *completionWriter) completionResponse {
	text := writer.text.String()
	reason := writer.finishReason
	response := completionResponse{ID: string(writer.id), Object: "text_completion", Model: writer.params.Model, Usage: &writer.usage}
	c := choice{FinishReason: &reason}
	if writer.params.Chat {
		response.Object = "chat.completion"
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	response.Choices = []choice{c}
	return response
}

// newChunk returns one chunk of a stream with the given text. reason is the
// finish reason of the last chunk, which also carries the usage, and nil in all
// others.
func newChunk(writer *completionWriter, text string, reason *string) completionResponse {
	response := completionResponse{ID: string(writer.id), Object: "text_completion", Model: writer.params.Model}
	c := choice{FinishReason: reason}
	if writer.params.Chat {
		response.Object = "chat.completion.chunk"
		c.Delta = &chatMessage{Content: text}
	} else {
		c.Text = &text
	}
	if reason != nil {
		response.Usage = &writer.usage
	}
	response.Choices = []choice{c}
	return response
}
