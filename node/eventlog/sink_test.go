package eventlog_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"tanagerspread/core/event"
	"tanagerspread/node/eventlog"
)

// TestLogLines guards against log lines without the event number or the error,
// and against a level that is not applied.
func TestLogLines(t *testing.T) {
	for level, want := range map[event.Level]int{event.LevelError: 1, event.LevelInfo: 2, event.LevelDebug: 3} {
		var out strings.Builder
		logger := eventlog.New(&out, level)
		eventlog.Write(logger, event.InvariantFailed, errors.New("boom"), "invariant", "i", "detail", "d")
		eventlog.Write(logger, event.NodeStopped, errors.New("late"))
		eventlog.Write(logger, event.RequestDelivered, nil, "request", "r")
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != want {
			t.Fatalf("level %s: got %d lines, want %d", level, len(lines), want)
		}
		var first struct {
			Event int
			Level string
			Error string
			Time  string
		}
		if err := json.Unmarshal([]byte(lines[0]), &first); err != nil {
			t.Fatal(err)
		}
		if first.Event != int(event.InvariantFailed.Number) || first.Level != "error" || first.Error != "boom" || first.Time == "" {
			t.Errorf("got %s", lines[0])
		}
	}
}
