package connector

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"github.com/samber/oops"
)

var errNoCertificates = errors.New("the file holds no certificates")

// ReadTLS returns the configuration for mutual TLS, read from PEM files. Both sides of a connection present a
// certificate signed by the authority; each certificate names the IP address of its side. The error names the file that
// cannot be read or holds no certificates.
func ReadTLS(certificate, key, authority string) (*tls.Config, error) {
	own, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, oops.In("connector").Wrapf(err, "certificate %s", certificate)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, oops.In("connector").Wrapf(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, oops.In("connector").Wrapf(errNoCertificates, "authority %s", authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{own},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{"h2", "http/1.1"},
	}, nil
}
