package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files names the PEM files of a process.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// reloadInterval bounds how often the files are looked at.
const reloadInterval = time.Second

// Credentials hold the certificate and the authority of a process, and read them again when a file changes, so that
// certificates are replaced without a restart. When new files cannot be read, the old ones stay in use.
type Credentials struct {
	files Files
	now   func() time.Time

	mu        sync.Mutex
	checked   time.Time
	modified  [3]time.Time
	cert      *tls.Certificate
	authority *x509.CertPool
	reloadErr error
}

// LoadCredentials reads the files for the first time.
func LoadCredentials(files Files, now func() time.Time) (*Credentials, error) {
	c := &Credentials{files: files, now: now}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.modified = c.modTimes()
	c.checked = now()
	return c, nil
}

func (c *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", c.files.Certificate, err)
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("authority %s holds no certificate", c.files.Authority)
	}
	c.cert = &cert
	c.authority = pool
	return nil
}

func (c *Credentials) modTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the certificate and authority in use, after a look at the files.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now().Sub(c.checked) < reloadInterval {
		return c.cert, c.authority
	}
	c.checked = c.now()
	if modified := c.modTimes(); modified != c.modified {
		c.reloadErr = c.load()
		if c.reloadErr == nil {
			c.modified = modified
		}
	}
	return c.cert, c.authority
}

// ReloadError returns the fault of the latest reload, or nil.
func (c *Credentials) ReloadError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reloadErr
}

// ServerConfig returns a TLS configuration that requires client certificates of the authority.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, authority := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authority,
				NextProtos:   []string{"http/1.1"},
			}, nil
		},
	}
}

// ClientConfig returns a TLS configuration for one connection, made with the files in use now.
func (c *Credentials) ClientConfig() *tls.Config {
	cert, authority := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      authority,
	}
}
