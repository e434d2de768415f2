package session_test

import (
	"crypto/tls"
	"net"
	"net/http"
	"testing"
	"time"

	"tanagerspread/node/peer"
)

// TestTLS guards against a listener that serves a client without TLS, an admin or
// peer listener that serves a client without a certificate, and a node that
// presents no certificate to its peers.
func TestTLS(t *testing.T) {
	site := startSiteWithRules(t, newCertificates(t, "node", "operator"))
	transcript := &site.transcript
	transcript.addComment("A caller uses TLS.")
	site.send(testRequest{node: site.nodes[0], path: "/services/lookup/tides", token: castlereaghToken, body: "{}"})
	transcript.addComment("Operators present their certificate.")
	site.recordCommand("status")
	plain := &http.Client{Timeout: waitTimeout}
	if response, err := plain.Get("http://" + site.nodes[0].callerAddress + "/healthz"); err == nil && response.StatusCode == http.StatusOK {
		t.Error("a caller without TLS was served")
	}
	for certificate, want := range map[string]bool{"": false, "operator": true} {
		if site.servesOperator(certificate) != want {
			t.Errorf("operator with certificate %q served: %v", certificate, !want)
		}
		if site.servesPeer(certificate) != want {
			t.Errorf("peer with certificate %q served: %v", certificate, !want)
		}
	}
	site.checkPeerCertificate()
	transcript.compareGolden(t, "tls")
}

// servesOperator reports whether the admin listener serves an operator with the
// named certificate, or without one when the name is empty.
func (site *testSite) servesOperator(certificate string) bool {
	site.t.Helper()
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{TLSClientConfig: site.certificates.clientConfig(certificate)}}
	defer client.CloseIdleConnections()
	response, err := client.Get("https://" + site.nodes[0].adminAddress + "/status")
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// servesPeer reports whether the peer listener answers a ping from a peer with the
// named certificate, or without one when the name is empty.
func (site *testSite) servesPeer(certificate string) bool {
	site.t.Helper()
	client := peer.NewClient((&net.Dialer{}).DialContext, site.certificates.clientConfig(certificate))
	defer client.Close()
	return client.Ping(site.t.Context(), site.nodes[0].peerAddress) == nil
}

// checkPeerCertificate adds a fourth node to the VM list, accepts the first
// connection of a peer to it, and checks that the peer presents a valid
// certificate.
func (site *testSite) checkPeerCertificate() {
	site.t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", site.certificates.serverConfig("node"))
	if err != nil {
		site.t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	site.setVM(&node{id: "node-4", callerAddress: "127.0.0.1:1", adminAddress: "127.0.0.1:1", peerAddress: listener.Addr().String()})
	timer := time.AfterFunc(waitTimeout, func() { _ = listener.Close() })
	defer timer.Stop()
	connection, err := listener.Accept()
	if err != nil {
		site.t.Fatalf("no peer connected: %v", err)
	}
	defer func() { _ = connection.Close() }()
	if err := connection.(*tls.Conn).Handshake(); err != nil {
		site.t.Errorf("a peer presented no valid certificate: %v", err)
	}
}
