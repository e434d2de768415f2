package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"tanagerspread/core/code"
	"tanagerspread/node/inifile"
)

// TLS holds the paths of the PEM files of one listener. All are empty when the
// listener does not use TLS.
type TLS struct {
	Cert string
	Key  string
	// CA is set when the other side must present a certificate that is signed by
	// it.
	CA string
}

// Config loads the files and returns the configuration of the listener. It
// returns nil when the listener does not use TLS, and an error when a file cannot
// be loaded or the certificate and the key do not match.
func (t TLS) Config() (*tls.Config, error) {
	if t == (TLS{}) {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate and key: %w", err)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	if t.CA == "" {
		return config, nil
	}
	config.ClientCAs, err = LoadPool(t.CA)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ClientConfig loads the files and returns the configuration of clients of the
// listener. It returns nil when the listener does not use TLS.
func (t TLS) ClientConfig() (*tls.Config, error) {
	config, err := t.Config()
	if config == nil || err != nil {
		return nil, err
	}
	config.RootCAs = config.ClientCAs
	config.ClientCAs = nil
	config.ClientAuth = tls.NoClientCert
	return config, nil
}

// LoadPool returns the certificates of a PEM file. It returns an error when the
// file cannot be read or contains no certificate.
func LoadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("load certificate authority: the file contains no certificate")
	}
	return pool, nil
}

// checkTLS returns the faults of listeners whose files are incomplete or cannot
// be loaded.
func (s *Settings) checkTLS() []inifile.Fault {
	faults := checkFiles("caller", s.CallerTLS)
	faults = append(faults, checkFiles("admin", s.AdminTLS)...)
	faults = append(faults, checkFiles("peer", s.PeerTLS)...)
	if s.PeerTLS.Cert != "" && s.PeerTLS.CA == "" {
		faults = append(faults, inifile.Fault{Section: "tls", Key: "peer-ca", Code: code.SettingMissing, Reason: "nodes must verify each other's certificates"})
	}
	return faults
}

func checkFiles(listener string, t TLS) []inifile.Fault {
	if t == (TLS{}) {
		return nil
	}
	var faults []inifile.Fault
	if t.Cert == "" {
		faults = append(faults, inifile.Fault{Section: "tls", Key: listener + "-cert", Code: code.SettingMissing, Reason: "the other TLS settings of the listener require it"})
	}
	if t.Key == "" {
		faults = append(faults, inifile.Fault{Section: "tls", Key: listener + "-key", Code: code.SettingMissing, Reason: "the other TLS settings of the listener require it"})
	}
	if len(faults) > 0 {
		return faults
	}
	if _, err := t.Config(); err != nil {
		return []inifile.Fault{{Section: "tls", Key: listener + "-cert", Code: code.SettingInvalid, Reason: err.Error()}}
	}
	return nil
}
