package agent

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
)

// messageLog records the messages to the control thread.
type messageLog []control.Message

func (m *messageLog) Tell(message control.Message) bool {
	*m = append(*m, message)
	return true
}

// TestUnchangedConfig guards against rules that are parsed again at each read
// of the same text, and against a changed text that is reported with the rules
// of the old one.
func TestUnchangedConfig(t *testing.T) {
	parseCalls := 0
	messages := &messageLog{}
	a := New(Options{Control: messages, Logger: logr.Discard(), Parse: func(text []byte) (*config.Rules, *code.Error) {
		parseCalls++
		return &config.Rules{Comments: map[string]string{"text": string(text)}}, nil
	}})
	texts := []string{"first", "first", "second", "second", "first"}
	for i, text := range texts {
		a.reportConfig(control.ConfigSeen{Current: config.Configuration{Version: config.Version(i + 1), Text: []byte(text)}, FromService: true, AskedAt: time.Time{}})
	}
	for i, message := range *messages {
		if got := message.(control.ConfigSeen).Rules.Comments["text"]; got != texts[i] {
			t.Errorf("message %d has the rules of %q, want %q", i, got, texts[i])
		}
	}
	if parseCalls != 3 {
		t.Errorf("%d texts were parsed, want 3", parseCalls)
	}
}
