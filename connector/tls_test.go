package connector_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"lovagebank/connector"
	"lovagebank/wire"
	"lovagebank/wire/wireconnect"
)

// authority is a certificate authority for tests.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	dir         string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	au := &authority{dir: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	var err error
	if au.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &au.key.PublicKey, au.key)
	if err != nil {
		t.Fatal(err)
	}
	if au.certificate, err = x509.ParseCertificate(raw); err != nil {
		t.Fatal(err)
	}
	au.write(t, "authority.pem", "CERTIFICATE", raw)
	return au
}

func (au *authority) write(t *testing.T, name, kind string, raw []byte) string {
	t.Helper()
	path := filepath.Join(au.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// issue returns the TLS configuration of an instance with a certificate signed by the authority.
func (au *authority) issue(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, au.certificate, &key.PublicKey, au.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	secure, err := connector.ReadTLS(au.write(t, "own.pem", "CERTIFICATE", raw), au.write(t, "key.pem", "EC PRIVATE KEY", encoded),
		filepath.Join(au.dir, "authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return secure
}

func TestMutualTLSAdmitsTrustedClientsOnly(t *testing.T) {
	t.Parallel()
	trusted, untrusted := newAuthority(t), newAuthority(t)
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewLimitServiceHandler(&fakePeer{}, connector.NewGuard("", true)))
	hs := httptest.NewUnstartedServer(mux)
	hs.Config.Protocols = connector.Protocols()
	hs.Listener = tls.NewListener(hs.Listener, trusted.issue(t))
	hs.Start()
	defer hs.Close()
	tests := map[string]struct {
		client   *tls.Config
		admitted bool
	}{
		"trusted authority":   {client: trusted.issue(t), admitted: true},
		"untrusted authority": {client: untrusted.issue(t)},
		"no certificate":      {client: &tls.Config{RootCAs: trusted.issue(t).RootCAs, MinVersion: tls.VersionTLS13}},
		"no TLS":              {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			co := connector.New(connector.Options{TLS: test.client})
			defer co.Close()
			_, err := co.Peer(strings.TrimPrefix(hs.URL, "http://")).Limits().Borrow(t.Context(), connect.NewRequest(&wire.BorrowRequest{}))
			if (err == nil) != test.admitted {
				t.Errorf("call admitted = %v (%v), want %v", err == nil, err, test.admitted)
			}
		})
	}
}
