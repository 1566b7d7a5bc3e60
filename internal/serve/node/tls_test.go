package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven"
)

// testCA is a certificate authority that writes its certificates and keys to files.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{t: t, dir: t.TempDir()}
	a.cert, a.key = a.sign("authority", 1, nil, nil)
	return a
}

func (a *testCA) file(name string) string { return filepath.Join(a.dir, name) }

// sign writes a certificate and its key as name.pem and name.key.
func (a *testCA) sign(name string, serial int64, parent *x509.Certificate,
	by *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.must(err)
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	if parent == nil {
		c.IsCA, c.BasicConstraintsValid, c.KeyUsage, c.ExtKeyUsage = true, true, x509.KeyUsageCertSign, nil
		parent, by = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, by)
	a.must(err)
	private, err := x509.MarshalECPrivateKey(key)
	a.must(err)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", private)
	parsed, err := x509.ParseCertificate(der)
	a.must(err)
	return parsed, key
}

func (a *testCA) write(name, kind string, der []byte) {
	a.must(os.WriteFile(a.file(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func (a *testCA) must(err error) {
	a.t.Helper()
	if err != nil {
		a.t.Fatal(err)
	}
}

// Guards against entry instances that need a restart for a new certificate, or drop the old one when the new file is
// broken.
func TestReload(t *testing.T) {
	a := newTestCA(t)
	a.sign("node", 2, a.cert, a.key)
	synctest.Test(t, func(t *testing.T) {
		c, err := newCertificates(a.file("node.pem"), a.file("node.key"), a.file("authority.pem"))
		a.must(err)
		serial := func() int64 {
			time.Sleep(reloadInterval)
			cert, _ := c.current()
			return cert.Leaf.SerialNumber.Int64()
		}
		if n := serial(); n != 2 {
			t.Fatalf("serial %d, want 2", n)
		}
		a.must(os.WriteFile(a.file("node.pem"), []byte("half a file"), 0o600))
		if n := serial(); n != 2 {
			t.Fatalf("serial %d with a broken file, want 2", n)
		}
		a.sign("node", 3, a.cert, a.key)
		if n := serial(); n != 3 {
			t.Fatalf("serial %d, want 3", n)
		}
	})
}

// Guards against unencrypted connections where certificates are configured, and against peers with a certificate of
// another CA.
func TestEncrypted(t *testing.T) {
	a, other := newTestCA(t), newTestCA(t)
	a.sign("node", 2, a.cert, a.key)
	other.sign("node", 2, other.cert, other.key)
	d := deploy(t, 2, func(s *Settings) {
		s.Certificate, s.Key = a.file("node.pem"), a.file("node.key")
		s.PeerCertificate, s.PeerKey, s.PeerCA = s.Certificate, s.Key, a.file("authority.pem")
	})
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	c := d.client("https", yuccahaven.WithHTTPClient(h))
	for range 4 {
		_, err := c.Submit(context.Background(), yuccahaven.Job{Queue: "open"})
		d.must(err)
	}
	if _, err := d.client("http", yuccahaven.WithTries(1)).Submit(context.Background(), yuccahaven.Job{Queue: "open"}); err == nil {
		t.Error("an unencrypted request was answered")
	}
	stranger, err := newCertificates(other.file("node.pem"), other.file("node.key"), a.file("authority.pem"))
	d.must(err)
	conn, err := tls.Dial("tcp", d.nodes[0].peerListener.Addr().String(), stranger.peerClientConfig())
	if err == nil {
		// In TLS 1.3 the client sees the server's rejection of its certificate only at the first read.
		_, err = conn.Read(make([]byte, 1))
	}
	if err == nil {
		t.Error("a peer with a certificate of another CA was accepted")
	}
}

// Guards against a running server that keeps the certificate it started with, and against a reload that fails requests.
func TestReloadServing(t *testing.T) {
	a := newTestCA(t)
	a.sign("node", 2, a.cert, a.key)
	d := deploy(t, 2, func(s *Settings) {
		s.Certificate, s.Key = a.file("node.pem"), a.file("node.key")
		s.PeerCertificate, s.PeerKey, s.PeerCA = s.Certificate, s.Key, a.file("authority.pem")
	})
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	c := d.client("https", yuccahaven.WithHTTPClient(&http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: roots}}}))
	peerTLS, err := newCertificates(a.file("node.pem"), a.file("node.key"), a.file("authority.pem"))
	d.must(err)
	serial := func(address string, config *tls.Config) int64 {
		_, err := c.Submit(context.Background(), yuccahaven.Job{Queue: "open"})
		d.must(err)
		conn, err := tls.Dial("tcp", address, config)
		d.must(err)
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	n := d.nodes[0]
	for _, x := range []struct {
		address string
		config  *tls.Config
	}{{n.Address(), &tls.Config{RootCAs: roots}}, {n.peerListener.Addr().String(), peerTLS.peerClientConfig()}} {
		if s := serial(x.address, x.config); s != 2 {
			t.Fatalf("serial %d, want 2", s)
		}
	}
	a.sign("node", 3, a.cert, a.key)
	// The server checks the files again within a second; one that never does fails by the test's time limit.
	for serial(n.Address(), &tls.Config{RootCAs: roots}) != 3 ||
		serial(n.peerListener.Addr().String(), peerTLS.peerClientConfig()) != 3 {
	}
}
