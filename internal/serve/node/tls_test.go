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

// authority signs certificates for tests.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.sign("authority", 1, nil, nil)
	return a
}

func (a *authority) file(name string) string { return filepath.Join(a.dir, name) }

// sign writes a certificate and its key as name.pem and name.key.
func (a *authority) sign(name string, serial int64, parent *x509.Certificate, by *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
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

func (a *authority) write(name, kind string, der []byte) {
	a.must(os.WriteFile(a.file(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func (a *authority) must(err error) {
	a.t.Helper()
	if err != nil {
		a.t.Fatal(err)
	}
}

// Guards against entry instances that need a restart for a new certificate, or lose the old one to a broken file.
func TestReload(t *testing.T) {
	a := newAuthority(t)
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

// Guards against unencrypted connections where certificates are set, and against peers of another authority.
func TestEncrypted(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	a.sign("node", 2, a.cert, a.key)
	other.sign("node", 2, other.cert, other.key)
	d := deploy(t, 2, func(s *Settings) {
		s.Certificate, s.Key = a.file("node.pem"), a.file("node.key")
		s.PeerCertificate, s.PeerKey, s.PeerAuthority = s.Certificate, s.Key, a.file("authority.pem")
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
	conn, err := tls.Dial("tcp", d.nodes[0].peerAt.Addr().String(), stranger.forPeerClient())
	if err == nil {
		// In TLS 1.3 the server's refusal of the certificate arrives with the first read.
		_, err = conn.Read(make([]byte, 1))
	}
	if err == nil {
		t.Error("a peer of another authority was admitted")
	}
}

// Guards against a running server that goes on with the certificate it started with, and against a reload that breaks
// requests.
func TestReloadServing(t *testing.T) {
	a := newAuthority(t)
	a.sign("node", 2, a.cert, a.key)
	d := deploy(t, 2, func(s *Settings) {
		s.Certificate, s.Key = a.file("node.pem"), a.file("node.key")
		s.PeerCertificate, s.PeerKey, s.PeerAuthority = s.Certificate, s.Key, a.file("authority.pem")
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
	}{{n.Address(), &tls.Config{RootCAs: roots}}, {n.peerAt.Addr().String(), peerTLS.forPeerClient()}} {
		if s := serial(x.address, x.config); s != 2 {
			t.Fatalf("serial %d, want 2", s)
		}
	}
	a.sign("node", 3, a.cert, a.key)
	// The files are looked at again within a second; a server that never does so runs into the test's time limit.
	for serial(n.Address(), &tls.Config{RootCAs: roots}) != 3 || serial(n.peerAt.Addr().String(), peerTLS.forPeerClient()) != 3 {
	}
}
