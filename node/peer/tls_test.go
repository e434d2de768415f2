package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"tanagerspread/core/membership"
)

// selfSignedCertificate returns a self-signed certificate for the loopback
// address and a pool that trusts it.
func selfSignedCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// TestMutualTLS guards against a server that answers a peer whose certificate is
// not trusted.
func TestMutualTLS(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	own, trusted := selfSignedCertificate(t)
	untrusted, _ := selfSignedCertificate(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := tls.NewListener(plain, &tls.Config{Certificates: []tls.Certificate{own}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: trusted})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewServer(fakeControl{membership.Digest{Node: "n2"}}).Serve(ctx, listener)
	}()
	for _, c := range []struct {
		name        string
		certificate tls.Certificate
		accepted    bool
	}{{"trusted", own, true}, {"stranger", untrusted, false}} {
		client := NewClient((&net.Dialer{}).DialContext, &tls.Config{Certificates: []tls.Certificate{c.certificate}, RootCAs: trusted})
		if _, err := client.Digest(ctx, plain.Addr().String(), membership.Digest{Node: "n1"}); (err == nil) != c.accepted {
			t.Errorf("%s: %v", c.name, err)
		}
		client.Close()
	}
	cancel()
	<-done
}
