package session_test

import (
	"crypto/tls"
	"net"
	"net/http"
	"testing"
	"time"

	"tanagerspread/node/peer"
)

// TestTLS guards against a listener that serves a client without TLS or
// without its certificate, and peers that do not present theirs.
func TestTLS(t *testing.T) {
	w := openWithRules(t, newCertificates(t, "node", "operator"))
	s := &w.transcript
	s.note("A caller uses TLS.")
	w.send(call{node: w.nodes[0], path: "/services/lookup/tides", token: castlereagh, body: "{}"})
	s.note("Operators present their certificate.")
	w.operate("status")
	plain := &http.Client{Timeout: patience}
	if response, err := plain.Get("http://" + w.nodes[0].callers + "/healthz"); err == nil && response.StatusCode == http.StatusOK {
		t.Error("a caller without TLS was served")
	}
	for certificate, want := range map[string]bool{"": false, "operator": true} {
		if w.servesOperator(certificate) != want {
			t.Errorf("operator with certificate %q served: %v", certificate, !want)
		}
		if w.servesPeer(certificate) != want {
			t.Errorf("peer with certificate %q served: %v", certificate, !want)
		}
	}
	w.checkPeerCertificate()
	s.check(t, "tls")
}

// servesOperator tells whether the admin listener answers an operator.
func (w *world) servesOperator(certificate string) bool {
	w.t.Helper()
	client := &http.Client{Timeout: patience, Transport: &http.Transport{TLSClientConfig: w.certificates.client(certificate)}}
	defer client.CloseIdleConnections()
	response, err := client.Get("https://" + w.nodes[0].operators + "/status")
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// servesPeer tells whether the peer listener answers a ping.
func (w *world) servesPeer(certificate string) bool {
	w.t.Helper()
	client := peer.NewClient((&net.Dialer{}).DialContext, w.certificates.client(certificate))
	defer client.Close()
	return client.Ping(w.t.Context(), w.nodes[0].peers) == nil
}

// checkPeerCertificate joins the member list as a further node and waits for
// a peer that presents its certificate.
func (w *world) checkPeerCertificate() {
	w.t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", w.certificates.server("node"))
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	w.setVM(&node{id: "node-4", callers: "127.0.0.1:1", operators: "127.0.0.1:1", peers: listener.Addr().String()})
	timer := time.AfterFunc(patience, func() { _ = listener.Close() })
	defer timer.Stop()
	connection, err := listener.Accept()
	if err != nil {
		w.t.Fatalf("no peer connected: %v", err)
	}
	defer func() { _ = connection.Close() }()
	if err := connection.(*tls.Conn).Handshake(); err != nil {
		w.t.Errorf("a peer presented no valid certificate: %v", err)
	}
}
