package ingress

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestStreamEndsBeforeFirstEvent guards against a connection that is closed without an
// answer, or a 200, when a stream whose headers have arrived ends before its first event.
func TestStreamEndsBeforeFirstEvent(t *testing.T) {
	const (
		framed = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: a\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n" +
			"X-Attempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
		plain   = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nwhole"
		refused = "HTTP/1.1 421 M\r\nRequest-Attempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		event   = "id: 1\ndata: x\n\n"
		comment = "8\r\n: wait\n\n\r\n"
	)
	for name, c := range map[string]struct {
		responses [][]string
		pause     time.Duration
		want      int
		body      string
	}{
		"stop":                         {responses: [][]string{{framed, "stop"}}, want: http.StatusGatewayTimeout},
		"stop after a comment":         {responses: [][]string{{framed + comment, "stop"}}, want: http.StatusGatewayTimeout},
		"deadline":                     {responses: [][]string{{framed, ""}}, pause: 2 * time.Minute, want: http.StatusGatewayTimeout},
		"deadline after a comment":     {responses: [][]string{{framed + comment, ""}}, pause: 2 * time.Minute, want: http.StatusGatewayTimeout},
		"closed":                       {responses: [][]string{{framed}}, want: http.StatusBadGateway},
		"closed without framing":       {responses: [][]string{{streamHeaders}}, want: http.StatusBadGateway},
		"closed within an event":       {responses: [][]string{{framed + "4\r\ndata\r\n"}}, want: http.StatusBadGateway},
		"second server refuses":        {responses: [][]string{{framed + comment}, {refused}}, want: http.StatusBadGateway},
		"second server has no stream":  {responses: [][]string{{framed + comment}, {plain}}, want: http.StatusOK, body: "whole"},
		"second server streams":        {responses: [][]string{{framed + comment}, {streamHeaders + event}}, want: http.StatusOK, body: event},
		"whole stream without events":  {responses: [][]string{{framed + "0\r\n\r\n"}}, want: http.StatusOK},
		"whole stream with a comment":  {responses: [][]string{{framed + comment + "0\r\n\r\n"}}, want: http.StatusOK, body: ": wait\n\n"},
		"comment is not lost or moved": {responses: [][]string{{streamHeaders + ": wait\n\n" + event}}, want: http.StatusOK, body: ": wait\n\n" + event},
	} {
		synctest.Test(t, func(t *testing.T) {
			w, aborted := playAttempts(&stopControl{repeats: len(c.responses) - 1}, c.responses, func(step int, stop func()) {
				if step > 0 && c.pause == 0 {
					stop()
				}
				if step > 0 {
					time.Sleep(c.pause)
				}
			})
			time.Sleep(2 * c.pause) // until the server has returned
			if aborted || w.Code != c.want || c.want == http.StatusOK && w.Body.String() != c.body {
				t.Errorf("%s: aborted %t, status %d, body %q", name, aborted, w.Code, w.Body)
			}
			if second := len(c.responses) > 1; second && w.Header().Get("X-Attempt") != "" {
				t.Errorf("%s: the caller got headers of the first server", name)
			}
		})
	}
}

// TestManyCommentsReachCaller guards against comments without end that fill the memory of
// the node, because they are held back until the first event.
func TestManyCommentsReachCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		comments := strings.Repeat(": wait\n\n", 2*maxHeldCommentBytes/8)
		if _, w, aborted := playStopped([]string{streamHeaders + comments, "stop"}, 1); !aborted || w.Body.String() != comments {
			t.Errorf("aborted %t, %d bytes reached the caller, want %d", aborted, w.Body.Len(), len(comments))
		}
	})
}

// TestEventIDsMayHaveGaps guards against a stream that is cut because its event ids
// increase by more than one, and against an event twice when such a stream is resumed.
func TestEventIDsMayHaveGaps(t *testing.T) {
	const first, rest = "id: 1\ndata: a\n\nid: 30\ndata: b\n\n", "id: 31\ndata: c\n\nid: 700\ndata: d\n\n"
	for name, responses := range map[string][][]string{
		"one server":        {{streamHeaders + first + rest}},
		"resumed":           {{streamHeaders + first + "id: 31"}, {streamHeaders + rest}},
		"resumed too early": {{streamHeaders + first + "id: 31"}, {streamHeaders + first + rest}},
	} {
		synctest.Test(t, func(t *testing.T) {
			w, aborted := playAttempts(&stopControl{repeats: len(responses) - 1}, responses, func(int, func()) {})
			if aborted || w.Body.String() != first+rest {
				t.Errorf("%s: aborted %t, body %q", name, aborted, w.Body)
			}
		})
	}
}

// TestResumedStreamSkipsNoEvent guards against a complete response in which events are
// missing, because the server that resumed the stream left them out; and against a resumed
// stream that is cut although its steps are no larger than those before.
func TestResumedStreamSkipsNoEvent(t *testing.T) {
	const broken = "id: "
	event := func(id string) string { return "id: " + id + "\ndata: x\n\n" }
	for name, c := range map[string]struct {
		responses [][]string
		want      string
		aborted   bool
	}{
		"steps of one, one skipped": {[][]string{{streamHeaders + event("1") + event("2") + broken}, {streamHeaders + event("4")}}, event("1") + event("2"), true},
		"one event, one skipped":    {[][]string{{streamHeaders + event("1") + broken}, {streamHeaders + event("3")}}, event("1"), true},
		"skipped after a replay":    {[][]string{{streamHeaders + event("1") + event("2") + broken}, {streamHeaders + event("1") + event("2") + event("4")}}, event("1") + event("2"), true},
		"skipped by the third server": {[][]string{{streamHeaders + event("1") + event("2") + broken}, {streamHeaders + event("3") + broken}, {streamHeaders + event("5")}},
			event("1") + event("2") + event("3"), true},
		"steps of ten":       {[][]string{{streamHeaders + event("10") + event("20") + broken}, {streamHeaders + event("30")}}, event("10") + event("20") + event("30"), false},
		"larger steps later": {[][]string{{streamHeaders + event("1") + broken}, {streamHeaders + event("2") + event("9")}}, event("1") + event("2") + event("9"), false},
		"no event before": {[][]string{{streamHeaders + strings.Repeat(": wait\n\n", 2*maxHeldCommentBytes/8) + broken}, {streamHeaders + event("7")}},
			strings.Repeat(": wait\n\n", 2*maxHeldCommentBytes/8) + event("7"), false},
	} {
		synctest.Test(t, func(t *testing.T) {
			w, aborted := playAttempts(&stopControl{repeats: len(c.responses) - 1}, c.responses, func(int, func()) {})
			if aborted != c.aborted || w.Body.String() != c.want {
				t.Errorf("%s: aborted %t, body %q", name, aborted, w.Body)
			}
		})
	}
}
