package settings_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tanagerspread/node/settings"
)

// authority is a certificate authority that writes its certificates and keys as
// PEM files.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) authority {
	t.Helper()
	a := authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.issue(name, nil, nil)
	return a
}

func (a authority) path(name, suffix string) string {
	return filepath.Join(a.dir, name+suffix)
}

func (a authority) issue(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(a.path(name, ".pem"), "CERTIFICATE", der)
	a.write(a.path(name, ".key"), "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

func (a authority) write(path, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// handshake connects a client to a server over a pipe and returns the
// server's error.
func handshake(server, client *tls.Config) error {
	left, right := net.Pipe()
	go func() {
		conn := tls.Client(right, client)
		_ = conn.Handshake()
		_, _ = conn.Read(make([]byte, 1))
		_ = right.Close()
	}()
	defer func() { _ = left.Close() }()
	return tls.Server(left, server).Handshake()
}

// TestMutualTLS guards against an admin listener that accepts a client without a
// certificate or with a certificate of another authority.
func TestMutualTLS(t *testing.T) {
	trusted := newAuthority(t, "ca")
	trusted.issue("node", trusted.cert, trusted.key)
	trusted.issue("operator", trusted.cert, trusted.key)
	other := newAuthority(t, "ca")
	other.issue("operator", other.cert, other.key)
	text := minimalSettings + "[tls]\nadmin-cert = " + trusted.path("node", ".pem") + "\nadmin-key = " + trusted.path("node", ".key") + "\nadmin-ca = " + trusted.path("ca", ".pem") + "\n"
	s, faults := settings.Parse(text)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	server, err := s.AdminTLS.Config()
	if err != nil {
		t.Fatal(err)
	}
	pool, err := settings.LoadPool(trusted.path("ca", ".pem"))
	if err != nil {
		t.Fatal(err)
	}
	for name, signer := range map[string]*authority{"trusted": &trusted, "other": &other, "none": nil} {
		client := &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
		if signer != nil {
			pair, err := tls.LoadX509KeyPair(signer.path("operator", ".pem"), signer.path("operator", ".key"))
			if err != nil {
				t.Fatal(err)
			}
			// GetClientCertificate makes the client send the certificate even
			// if the server does not request its authority.
			client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
		}
		if err := handshake(server, client); (err == nil) != (name == "trusted") {
			t.Errorf("client certificate %s: got %v", name, err)
		}
	}
}

// TestMismatchedKey guards against a certificate and a key that do not match and
// are detected only when the first caller connects.
func TestMismatchedKey(t *testing.T) {
	a := newAuthority(t, "ca")
	a.issue("one", a.cert, a.key)
	a.issue("two", a.cert, a.key)
	_, faults := settings.Parse(minimalSettings + "[tls]\ncaller-cert = " + a.path("one", ".pem") + "\ncaller-key = " + a.path("two", ".key") + "\n")
	if len(faults) != 1 || faults[0].Key != "caller-cert" {
		t.Errorf("got %v", faults)
	}
}
