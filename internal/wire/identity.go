package wire

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Identity is the role, zone and VM of a process, taken from its certificate.
type Identity struct {
	Role string
	Zone ident.Zone
	VM   ident.VM
}

const (
	identityScheme = "bramleyspool"
	protocolName   = "bramleyspool/1"
	serverName     = "bramleyspool.internal"
	serialBits     = 120
	// clockSkew is how far NotBefore lies in the past, so that a peer whose clock is behind accepts a new certificate.
	clockSkew = 10 * time.Minute
)

// Errors about identities.
var (
	ErrNoIdentity    = errors.New("no certificate with a bramleyspool identity")
	ErrWrongIdentity = errors.New("unexpected peer identity")
)

// URL returns the identity as the URI that a certificate holds: bramleyspool://ZONE/ROLE/VM.
func (i Identity) URL() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Zone), Path: "/" + i.Role + "/" + string(i.VM)}
}

// IdentityOf returns the identity in a certificate, or ErrNoIdentity.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	for _, uri := range certificate.URIs {
		parts := strings.Split(strings.Trim(uri.Path, "/"), "/")
		if uri.Scheme == identityScheme && len(parts) == 2 {
			return Identity{Role: parts[0], Zone: ident.Zone(uri.Host), VM: ident.VM(parts[1])}, nil
		}
	}
	return Identity{}, ErrNoIdentity
}

// Authority is a certificate authority that signs the certificates of a fleet.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// KeyPair holds a certificate, its private key and the authority's certificate in PEM form.
type KeyPair struct {
	Certificate []byte
	PrivateKey  []byte
	Authority   []byte
}

// NewAuthority creates an authority with a new key. Its certificate expires at now plus validity.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "bramleyspool fleet"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue creates a private key and a signed certificate for an identity. The certificate expires at now plus validity.
func (a *Authority) Issue(identity Identity, now time.Time, validity time.Duration) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("key of %s: %w", identity.VM, err)
	}
	serial, err := newSerial()
	if err != nil {
		return KeyPair{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: string(identity.VM)},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:         []*url.URL{identity.URL()},
		DNSNames:     []string{serverName},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("certificate of %s: %w", identity.VM, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("key of %s: %w", identity.VM, err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		PrivateKey:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
		Authority:   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw}),
	}, nil
}

func newSerial() (*big.Int, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("serial number: %w", err)
	}
	return serial, nil
}

// Keys holds the key pair in use, which can be replaced while connections are open. It is safe for concurrent use.
type Keys struct {
	mu          sync.RWMutex
	certificate *tls.Certificate
	authorities *x509.CertPool
	identity    Identity
}

// NewKeys returns Keys that use the pair.
func NewKeys(pair KeyPair) (*Keys, error) {
	keys := &Keys{}
	return keys, keys.Replace(pair)
}

// keyFileMode lets only the owner read key files.
const keyFileMode = 0o600

// SaveKeyPair writes a key pair into a directory: NAME.pem, NAME.key and authority.pem.
func SaveKeyPair(directory, name string, pair KeyPair) error {
	files := []struct {
		name string
		data []byte
	}{
		{name + ".pem", pair.Certificate}, {name + ".key", pair.PrivateKey}, {"authority.pem", pair.Authority},
	}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(directory, file.name), file.data, keyFileMode); err != nil {
			return err
		}
	}
	return nil
}

// LoadKeyPair reads a key pair from PEM files.
func LoadKeyPair(certificate, privateKey, authority string) (KeyPair, error) {
	var pair KeyPair
	var err error
	if pair.Certificate, err = os.ReadFile(certificate); err != nil {
		return KeyPair{}, fmt.Errorf("certificate: %w", err)
	}
	if pair.PrivateKey, err = os.ReadFile(privateKey); err != nil {
		return KeyPair{}, fmt.Errorf("private key: %w", err)
	}
	if pair.Authority, err = os.ReadFile(authority); err != nil {
		return KeyPair{}, fmt.Errorf("authority: %w", err)
	}
	return pair, nil
}

// Replace makes k use another key pair for new connections. If the pair is invalid, it returns an error and keeps the
// old one.
func (k *Keys) Replace(pair KeyPair) error {
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.PrivateKey)
	if err != nil {
		return fmt.Errorf("key pair: %w", err)
	}
	identity, err := IdentityOf(certificate.Leaf)
	if err != nil {
		return err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pair.Authority) {
		return fmt.Errorf("authority: no certificate in the PEM data: %w", ErrNoIdentity)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.certificate = &certificate
	k.authorities = authorities
	k.identity = identity
	return nil
}

// Identity returns the identity of the key pair in use.
func (k *Keys) Identity() Identity {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.identity
}

func (k *Keys) authorityPool() *x509.CertPool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.authorities
}

func (k *Keys) tlsCertificate() *tls.Certificate {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.certificate
}

func (k *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocolName},
				Certificates: []tls.Certificate{*k.tlsCertificate()},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    k.authorityPool(),
			}, nil
		},
	}
}

func (k *Keys) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
		ServerName:   serverName,
		RootCAs:      k.authorityPool(),
		Certificates: []tls.Certificate{*k.tlsCertificate()},
	}
}
