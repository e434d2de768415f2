package process_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"tanagerspread/standin/deployed"
)

// TestStreamResumes guards against a resumed stream with a missing or a repeated
// event, and against an interrupted stream that looks complete.
func TestStreamResumes(t *testing.T) {
	const events = 5
	for path, resumed := range map[string]bool{"/review/": true, "/caption/": false} {
		runAtSite(t, func(s *deployedSite) {
			servers := []*deployed.Server{s.startServer("i-1", events), s.startServer("i-2", events)}
			for _, server := range servers {
				server.CloseAfterEvents = 2
			}
			s.writeConfiguration(testKey)
			n := s.startNode("n1")
			waitForRepeats()
			s.plan.SetNext(deployed.CloseConnection)
			got := n.call("POST", path, nil, "x")
			if !resumed {
				if !got.incomplete || receivedCalls(servers) != 1 {
					t.Errorf("%s: got %+v after %d calls, want an incomplete response after one", path, got, receivedCalls(servers))
				}
				return
			}
			want := ""
			for i := range events {
				want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
			}
			if got.incomplete || got.body != want {
				t.Errorf("%s: got %q", path, got.body)
			}
			var lastEventIDs []string
			for _, server := range servers {
				for _, r := range server.Received() {
					lastEventIDs = append(lastEventIDs, r.Header.Get("Last-Event-Id"))
				}
			}
			slices.Sort(lastEventIDs)
			if !slices.Equal(lastEventIDs, []string{"", "2"}) {
				t.Errorf("%s: the attempts have last event IDs %q, want none and 2", path, lastEventIDs)
			}
		})
	}
}

// TestBrokenStreamNotCompleted guards against a stream that broke off and then ends as if
// it were complete, has a piece twice, or has the error of the next server in it.
func TestBrokenStreamNotCompleted(t *testing.T) {
	const (
		events = 5
		broken = 2
	)
	withIDs, withoutIDs := "", ""
	for i := 1; i <= broken; i++ {
		withoutIDs += fmt.Sprintf("data: piece %d\n\n", i)
		withIDs += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	for name, c := range map[string]struct {
		first, second deployed.Behaviour
		want          string
	}{
		"error":                {deployed.CloseConnection, deployed.InternalError, withIDs},
		"no stream":            {deployed.CloseConnection, deployed.RespondPlain, withIDs},
		"other attempt":        {deployed.CloseConnection, deployed.MismatchID, withIDs},
		"refusal of another":   {deployed.CloseConnection, deployed.RefuseOther, withIDs},
		"no response":          {deployed.CloseConnection, deployed.Hang, withIDs},
		"broken again":         {deployed.CloseConnection, deployed.CloseConnection, withIDs},
		"events without ids":   {deployed.CloseConnection, deployed.OmitEventIDs, withIDs},
		"resumes without ids":  {deployed.OmitEventIDs, deployed.Respond, withoutIDs},
		"error without ids":    {deployed.OmitEventIDs, deployed.InternalError, withoutIDs},
		"neither has event id": {deployed.OmitEventIDs, deployed.OmitEventIDs, withoutIDs},
	} {
		t.Run(name, func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				for _, server := range []*deployed.Server{s.startServer("i-1", events), s.startServer("i-2", events)} {
					server.CloseAfterEvents = broken
				}
				s.writeConfiguration(testKey)
				n := s.startNode("n1")
				waitForRepeats()
				s.plan.SetNext(c.first, c.second)
				got := n.call("POST", "/review/", nil, "x")
				if got.status != http.StatusOK || !got.incomplete || got.body != c.want {
					t.Errorf("got status %d, incomplete %t, body %q, want the first %d events and a broken connection", got.status, got.incomplete, got.body, broken)
				}
			})
		})
	}
}

// TestStreamWithoutEvents guards against a closed connection, or a status that promises
// that the call has not run, when its servers sent the headers of a stream and no event.
func TestStreamWithoutEvents(t *testing.T) {
	const events = 2
	whole := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	for name, c := range map[string]struct {
		path  string
		after []deployed.Behaviour
		want  int
		body  string
	}{
		"no repeat":       {path: "/caption/", want: http.StatusBadGateway},
		"closed again":    {path: "/review/", after: []deployed.Behaviour{deployed.CloseConnection, deployed.CloseConnection}, want: http.StatusBadGateway},
		"refused":         {path: "/review/", after: slices.Repeat([]deployed.Behaviour{deployed.Shed}, 9), want: http.StatusBadGateway},
		"no response":     {path: "/review/", after: []deployed.Behaviour{deployed.Hang, deployed.Hang}, want: http.StatusGatewayTimeout},
		"second succeeds": {path: "/review/", after: []deployed.Behaviour{deployed.Respond}, want: http.StatusOK, body: whole},
	} {
		t.Run(name, func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				servers := []*deployed.Server{s.startServer("i-1", events), s.startServer("i-2", events)}
				s.writeConfiguration(testKey)
				n := s.startNode("n1")
				waitForRepeats()
				s.plan.SetNext(append([]deployed.Behaviour{deployed.CloseConnection}, c.after...)...)
				got := n.call("POST", c.path, nil, "x")
				if got.incomplete || got.status != c.want || c.body != "" && got.body != c.body {
					t.Errorf("after %d calls at servers: status %d, incomplete %t, body %q", receivedCalls(servers), got.status, got.incomplete, got.body)
				}
			})
		})
	}
}
