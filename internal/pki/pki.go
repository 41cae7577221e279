// Package pki creates the certificates and keys of a deployment: one certificate authority, and a certificate for each
// process and operator. A certificate holds the roles as organizational units and the host or operator as common name.
package pki

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Validity periods of the issued certificates.
const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 365 * 24 * time.Hour
	backdate            = 5 * time.Minute // tolerates clock differences between VMs
)

// File names in the directory of the authority.
const (
	AuthorityFile    = "ca.pem"
	authorityKeyFile = "ca-key.pem"
)

const (
	privateMode = 0o600
	publicMode  = 0o644
	serialBits  = 120
)

// CreateAuthority writes the certificate and key of a new authority into a directory. It fails if the directory already
// has an authority.
func CreateAuthority(dir string, now time.Time) error {
	if _, err := os.Stat(filepath.Join(dir, authorityKeyFile)); err == nil {
		return fmt.Errorf("folder %s already has an authority", dir)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("create authority key: %w", err)
	}
	template, err := newTemplate("plantainseam", nil, now, authorityValidity)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("create authority: %w", err)
	}
	if err := writePair(dir, AuthorityFile, authorityKeyFile, der, key); err != nil {
		return err
	}
	return nil
}

// Request describes the subject of a certificate.
type Request struct {
	Name      string   // host or operator, used as the common name
	Roles     []string // organizational units
	Addresses []net.IP // addresses that the process listens on
}

// Issue creates a key and a certificate signed by the authority in dir, and writes them to NAME-key.pem and NAME.pem
// there.
func Issue(dir string, r Request, now time.Time) error {
	authority, authorityKey, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("create key of %s: %w", r.Name, err)
	}
	template, err := newTemplate(r.Name, r.Roles, now, certificateValidity)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = r.Addresses
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return fmt.Errorf("create certificate of %s: %w", r.Name, err)
	}
	return writePair(dir, r.Name+".pem", r.Name+"-key.pem", der, key)
}

func newTemplate(name string, units []string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("create serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: units},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func loadAuthority(dir string) (*x509.Certificate, any, error) {
	certDER, err := readPEM(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, nil, fmt.Errorf("parse authority: %w", err)
	}
	keyDER, err := readPEM(filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, nil, fmt.Errorf("parse authority key: %w", err)
	}
	return cert, key, nil
}

func writePair(dir, certName, keyName string, certDER []byte, key any) error {
	if err := writePEM(filepath.Join(dir, certName), "CERTIFICATE", certDER, publicMode); err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	return writePEM(filepath.Join(dir, keyName), "PRIVATE KEY", keyDER, privateMode)
}

// CreateSigningKey writes a new ed25519 key pair for signing reports to PATH (private) and PATH.pub (public).
func CreateSigningKey(path string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("create signing key: %w", err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return fmt.Errorf("encode signing key: %w", err)
	}
	if err := writePEM(path, "PRIVATE KEY", der, privateMode); err != nil {
		return err
	}
	publicDER, err := x509.MarshalPKIXPublicKey(public)
	if err != nil {
		return fmt.Errorf("encode public key: %w", err)
	}
	return writePEM(path+".pub", "PUBLIC KEY", publicDER, publicMode)
}

// LoadSigningKey reads an ed25519 private key.
func LoadSigningKey(path string) (ed25519.PrivateKey, error) {
	der, err := readPEM(path)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", path, err)
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s is not an ed25519 key", path)
	}
	return private, nil
}

// LoadPublicKey reads an ed25519 public key.
func LoadPublicKey(path string) (ed25519.PublicKey, error) {
	der, err := readPEM(path)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKIXPublicKey(der)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", path, err)
	}
	public, ok := key.(ed25519.PublicKey)
	if !ok {
		return nil, fmt.Errorf("%s is not an ed25519 key", path)
	}
	return public, nil
}

func readPEM(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read PEM file: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("%s holds no PEM block", path)
	}
	return block.Bytes, nil
}

func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, text, mode); err != nil {
		return fmt.Errorf("write PEM file: %w", err)
	}
	return nil
}
