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

// reloadInterval is how often the certificate files are looked at, on use.
const reloadInterval = time.Second

// certificates holds a certificate and, for peers, the authority, and reads the files again when they change.
type certificates struct {
	certFile, keyFile, authorityFile string

	mu        sync.Mutex
	looked    time.Time
	stamp     string
	cert      *tls.Certificate
	authority *x509.CertPool
}

func newCertificates(cert, key, authority string) (*certificates, error) {
	c := &certificates{certFile: cert, keyFile: key, authorityFile: authority}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *certificates) load() error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("node: certificate: %w", err)
	}
	pool, err := loadAuthority(c.authorityFile)
	if err != nil {
		return err
	}
	c.cert, c.authority, c.stamp = &cert, pool, c.fileStamp()
	return nil
}

var errAuthority = errors.New("node: the file holds no certificate of an authority")

func loadAuthority(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("node: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%w: %s", errAuthority, file)
	}
	return pool, nil
}

// fileStamp changes when a file is replaced.
func (c *certificates) fileStamp() string {
	var s string
	for _, f := range []string{c.certFile, c.keyFile, c.authorityFile} {
		if i, err := os.Stat(f); f != "" && err == nil {
			s += fmt.Sprintf("%d %d ", i.ModTime().UnixNano(), i.Size())
		}
	}
	return s
}

// current returns the certificate and authority. Files that can't be read, or don't fit each other while they are
// being replaced, leave the old ones in use.
func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.looked) >= reloadInterval {
		c.looked = now
		if c.fileStamp() != c.stamp {
			_ = c.load()
		}
	}
	return c.cert, c.authority
}

// forCallers returns the TLS settings of the HTTP server.
func (c *certificates) forCallers() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		cert, _ := c.current()
		return cert, nil
	}}
}

// forPeerServer returns the TLS settings towards peers that call; they must show a certificate of the authority.
func (c *certificates) forPeerServer() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, authority := c.current()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: authority,
			ClientAuth: tls.RequireAndVerifyClientCert}, nil
	}}
}

// forPeerClient returns the TLS settings for calling peers. Peers are called by address, which certificates don't
// name, so the chain is verified against the authority without a host name.
func (c *certificates) forPeerClient() *tls.Config {
	cert, authority := c.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error { return verifyChain(s, authority) }}
}

func verifyChain(s tls.ConnectionState, authority *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("node: the peer showed no certificate")
	}
	o := x509.VerifyOptions{Roots: authority, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}
