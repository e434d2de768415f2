package eventlog

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"

	"tanagerspread/core/event"
)

// New returns a logger that writes events to out as one JSON object per line.
// Events that are less severe than the level are dropped.
func New(out io.Writer, level event.Level) logr.Logger {
	threshold := zerolog.InfoLevel
	switch level {
	case event.LevelError:
		threshold = zerolog.ErrorLevel
	case event.LevelDebug:
		threshold = zerolog.DebugLevel
	}
	sink := zerolog.New(zerolog.SyncWriter(out)).Level(threshold).With().Timestamp().Logger()
	return zerologr.New(&sink)
}
