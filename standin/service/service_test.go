package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/service"
	"tanagerspread/standin/pipe"
	standin "tanagerspread/standin/service"
)

func call(ctx context.Context, client *http.Client, url, digest string) (string, error) {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
	r.Header.Set(service.HeaderRequestID, "request-"+digest)
	r.Header.Set(service.HeaderKeyDigest, digest)
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	return response.Header.Get(service.HeaderRequestID), nil
}

// TestRunCounts guards against run counts that omit an effect whose response was
// lost, or include a call without an effect: tests of at-most-once requests rely on
// the counts.
func TestRunCounts(t *testing.T) {
	ctx := context.Background()
	s := standin.New(standin.Options{Name: "lodgement"})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	cases := []struct {
		digest string
		fault  standin.Fault
		runs   int
	}{
		{"before", standin.CrashBefore, 0}, {"after", standin.CrashAfter, 1}, {"lost", standin.LoseResponse, 1},
	}
	for _, c := range cases {
		s.InjectNext(c.fault)
		if _, err := call(ctx, client, server.URL, c.digest); err == nil {
			t.Errorf("%s: the call got a response, want a closed connection", c.digest)
		}
		s.Restart()
		if runs := s.Runs()[c.digest]; runs != c.runs {
			t.Errorf("%s: %d runs, want %d", c.digest, runs, c.runs)
		}
	}
	if id, err := call(ctx, client, server.URL, "good"); err != nil || id != "request-good" || s.Runs()["good"] != 1 {
		t.Errorf("call without a fault: request id %q, error %v", id, err)
	}
	s.InjectNext(standin.MismatchID)
	if id, err := call(ctx, client, server.URL, "good"); err != nil || id == "request-good" {
		t.Errorf("MismatchID: request id %q, error %v", id, err)
	}
}

// TestHang guards against a hanging call that gets a response, against an effect of
// Hang, and against a HangAfter without an effect.
func TestHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Options{RunTime: time.Second})
		network := pipe.NewNetwork()
		listener := network.Listen("service:80")
		server := &http.Server{Handler: s.Handler()}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dial, DisableKeepAlives: true}}
		s.InjectNext(standin.Hang)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		if _, err := call(ctx, client, "http://service:80/tide", "d"); err == nil || s.Runs()["d"] != 0 {
			t.Errorf("Hang: error %v, %d runs, want a timeout and no run", err, s.Runs()["d"])
		}
		s.InjectNext(standin.HangAfter)
		ctx, cancel = context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		if _, err := call(ctx, client, "http://service:80/tide", "d"); err == nil || s.Runs()["d"] != 1 {
			t.Errorf("HangAfter: error %v, %d runs, want a timeout and one run", err, s.Runs()["d"])
		}
	})
}
