package mesh

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

const (
	certLifetime = 10 * 365 * 24 * time.Hour
	serialBits   = 120
	// ServerName is the DNS name in every instance's certificate.
	ServerName = "ledgemount.instance"
)

// Authority is the certificate authority of a fleet.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority returns an Authority with a new key and certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "making the authority's key")
	}
	tmpl, err := certTemplate("ledgemount fleet")
	if err != nil {
		return nil, err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "making the authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parsing the authority's certificate")
	}
	return &Authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

// LoadAuthority returns the Authority with a given certificate and key, both in PEM.
func LoadAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, eris.Wrap(err, "reading the authority's certificate and key")
	}
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, eris.Wrap(err, "parsing the authority's certificate")
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !cert.IsCA {
		return nil, eris.New("reading the authority's certificate and key: they are not an authority's")
	}
	return &Authority{cert: cert, key: key, pem: certPEM}, nil
}

// KeyPEM returns the authority's private key. Whoever has it can issue certificates of the fleet.
func (a *Authority) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the authority's key")
	}
	return encodePEM("PRIVATE KEY", der), nil
}

// PEM returns the authority's certificate.
func (a *Authority) PEM() []byte { return a.pem }

// Issue returns a new certificate for an instance and its key, both in PEM.
func (a *Authority) Issue(id string) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "making an instance's key")
	}
	tmpl, err := certTemplate(id)
	if err != nil {
		return nil, nil, err
	}
	tmpl.DNSNames = []string{ServerName}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &k.PublicKey, a.key)
	if err != nil {
		return nil, nil, eris.Wrap(err, "signing an instance's certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encoding an instance's key")
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER), nil
}

func certTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "making a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certLifetime),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// TLS returns a configuration for both clients and servers. Each side must present a certificate of the fleet's
// authority.
func TLS(caPEM, certPEM, keyPEM []byte) (*tls.Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, eris.New("reading the fleet's authority: no certificate in it")
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, eris.Wrap(err, "reading the instance's certificate and key")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		NextProtos:   []string{protocol},
	}, nil
}
