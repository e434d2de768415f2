package session_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tanagerspread/node/settings"
)

// certificates holds a certificate authority and a temporary directory with the
// PEM files of the authority and of the certificates that it issued.
type certificates struct {
	t            *testing.T
	directory    string
	authority    *x509.Certificate
	authorityKey *ecdsa.PrivateKey
}

// newCertificates creates an authority and issues one certificate for each name.
func newCertificates(t *testing.T, names ...string) *certificates {
	t.Helper()
	c := &certificates{t: t, directory: t.TempDir()}
	c.issue("ca")
	for _, name := range names {
		c.issue(name)
	}
	return c
}

// issue creates a certificate and writes it and its key as PEM files. The first
// certificate is the self-signed authority, which signs the others.
func (c *certificates) issue(name string) {
	c.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		c.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: c.authority == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	if c.authority == nil {
		c.authority, c.authorityKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, c.authority, &key.PublicKey, c.authorityKey)
	if err != nil {
		c.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		c.t.Fatal(err)
	}
	c.writePEM(name+".pem", "CERTIFICATE", der)
	c.writePEM(name+".key", "EC PRIVATE KEY", keyDER)
}

func (c *certificates) writePEM(name, kind string, der []byte) {
	c.t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(c.path(name), data, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *certificates) path(name string) string {
	return filepath.Join(c.directory, name)
}

// tlsSettings returns the tls section in the settings of a node that uses TLS on
// each listener.
func (c *certificates) tlsSettings() string {
	text := "[tls]\n"
	for _, listener := range []string{"caller", "admin", "peer"} {
		text += fmt.Sprintf("%s-cert = %s\n%s-key = %s\n", listener, c.path("node.pem"), listener, c.path("node.key"))
	}
	return text + fmt.Sprintf("admin-ca = %s\npeer-ca = %s\n", c.path("ca.pem"), c.path("ca.pem"))
}

// operatorOptions returns the TLS options for tanagerctl.
func (c *certificates) operatorOptions() []string {
	return []string{"--ca", c.path("ca.pem"), "--cert", c.path("operator.pem"), "--key", c.path("operator.key")}
}

// clientConfig returns the TLS configuration of a client with the named
// certificate, or without a certificate when the name is empty.
func (c *certificates) clientConfig(name string) *tls.Config {
	c.t.Helper()
	pool, err := settings.LoadPool(c.path("ca.pem"))
	if err != nil {
		c.t.Fatal(err)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if name == "" {
		return config
	}
	pair, err := tls.LoadX509KeyPair(c.path(name+".pem"), c.path(name+".key"))
	if err != nil {
		c.t.Fatal(err)
	}
	config.Certificates = []tls.Certificate{pair}
	return config
}

// serverConfig returns the TLS configuration of a listener that requires client
// certificates.
func (c *certificates) serverConfig(name string) *tls.Config {
	config := c.clientConfig(name)
	config.ClientCAs, config.ClientAuth = config.RootCAs, tls.RequireAndVerifyClientCert
	return config
}
