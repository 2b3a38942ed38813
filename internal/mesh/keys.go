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
	certLife   = 10 * 365 * 24 * time.Hour
	serialBits = 120
	// ServerName is the name in every instance's certificate.
	ServerName = "ledgemount.instance"
)

// Authority signs the certificates of one fleet.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority makes a certificate authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "making the authority's key")
	}
	tmpl, err := template("ledgemount fleet")
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

// LoadAuthority reads an authority from its certificate and key, both PEM.
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

// KeyPEM is the authority's key: whoever has it can make certificates of the fleet.
func (a *Authority) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the authority's key")
	}
	return encodePEM("PRIVATE KEY", der), nil
}

// PEM is the authority's certificate.
func (a *Authority) PEM() []byte { return a.pem }

// Issue makes a certificate and its key for one instance, both PEM.
func (a *Authority) Issue(id string) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "making an instance's key")
	}
	tmpl, err := template(id)
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
	kder, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encoding an instance's key")
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", kder), nil
}

func template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "making a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certLife),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// TLS makes the configuration for both directions: each side must show a certificate of the fleet's authority.
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
