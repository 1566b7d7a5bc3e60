package node

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadInterval is the minimum interval between checks of the certificate files, which happen on use.
const reloadInterval = time.Second

// certificates holds a certificate and, for peers, the CA certificates, and reloads the files when they change.
type certificates struct {
	certFile, keyFile, caFile string

	mu          sync.Mutex
	checkedAt   time.Time
	loadedStamp string
	cert        *tls.Certificate
	ca          *x509.CertPool
}

func newCertificates(cert, key, ca string) (*certificates, error) {
	c := &certificates{certFile: cert, keyFile: key, caFile: ca}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *certificates) load() error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("node: loading certificate and key: %w", err)
	}
	pool, err := loadCA(c.caFile)
	if err != nil {
		return err
	}
	c.cert, c.ca, c.loadedStamp = &cert, pool, c.fileStamp()
	return nil
}

var errNoCACertificate = errors.New("node: CA file contains no PEM certificate")

func loadCA(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("node: reading CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%w: %s", errNoCACertificate, file)
	}
	return pool, nil
}

// fileStamp returns the modification times and sizes of the files; it changes when a file is replaced.
func (c *certificates) fileStamp() string {
	var s string
	for _, f := range []string{c.certFile, c.keyFile, c.caFile} {
		if i, err := os.Stat(f); f != "" && err == nil {
			s += fmt.Sprintf("%d %d ", i.ModTime().UnixNano(), i.Size())
		}
	}
	return s
}

// current returns the certificate and the CA certificates. If the files can't be read, or don't match each other while
// they are being replaced, it returns the old ones.
func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) >= reloadInterval {
		c.checkedAt = now
		if c.fileStamp() != c.loadedStamp {
			_ = c.load()
		}
	}
	return c.cert, c.ca
}

// callerConfig returns the TLS configuration of the HTTP server.
func (c *certificates) callerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		cert, _ := c.current()
		return cert, nil
	}}
}

// peerServerConfig returns the TLS configuration of the peer server, which requires a client certificate signed by the
// CA.
func (c *certificates) peerServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, ca := c.current()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: ca,
			ClientAuth: tls.RequireAndVerifyClientCert}, nil
	}}
}

// peerClientConfig returns the TLS configuration for calls to peers. Peers are called by address, which their
// certificates don't name, so the chain is verified against the CA without a host name.
func (c *certificates) peerClientConfig() *tls.Config {
	cert, ca := c.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error { return verifyChain(s, ca) }}
}

func verifyChain(s tls.ConnectionState, ca *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("node: peer presented no certificate")
	}
	o := x509.VerifyOptions{Roots: ca, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}
