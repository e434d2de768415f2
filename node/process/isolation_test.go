package process_test

import (
	"net/http"
	"testing"
	"time"
)

// TestRestartedNodeKeepsSalt guards against a node that starts after a tenant was isolated
// and uses other salts than the nodes that saw the change, so that all its prompts are
// computed again, and against a record that no node writes.
func TestRestartedNodeKeepsSalt(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		server := s.startServer("i-0", 2)
		s.writeConfiguration(testKey)
		nodes := []*deployedNode{s.startNode("n1")}
		waitForSync()
		s.isolated = true
		s.writeConfiguration(testKey)
		time.Sleep(3 * time.Second)
		s.writeConfiguration(testKey)
		nodes = append(nodes, s.startNode("n2"))
		time.Sleep(3 * time.Second)
		for _, node := range nodes {
			node.call("POST", "/review/", http.Header{"Prompt-Prefix": {"aa:3000,bb:10"}, "Token-Count": {"3010,20"}, "Api-Key": {testKey}}, "x")
		}
		received := server.Received()
		if len(received) != 2 {
			t.Fatalf("the server received %d calls", len(received))
		}
		for i, r := range received {
			if got, want := r.Salt(), "m/1/derwent/6"; got != want {
				t.Errorf("call %d has the salt %q, want %q", i, got, want)
			}
		}
	})
}
