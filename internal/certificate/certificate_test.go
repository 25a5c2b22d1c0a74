package certificate_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/certificate"
)

func TestCertificate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "certificate")
}

// authority signs test certificates.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{key: key, cert: cert, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write writes a signed certificate, its key and the certificate of the
// authority to dir, and returns a Source of these files.
func (au *authority) write(dir string, serial int64) *certificate.Source {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, au.cert, &key.PublicKey, au.key)
	Expect(err).NotTo(HaveOccurred())
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	so := &certificate.Source{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem"),
		Clock: clockwork.NewRealClock(),
	}
	writeFile := func(path string, data []byte) { Expect(os.WriteFile(path, data, 0o600)).To(Succeed()) }
	writeFile(so.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(so.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}))
	writeFile(so.CAFile, au.pem)
	return so
}

// handshake connects client to server and returns the serial number of the
// server certificate that the client received.
func handshake(server, client *tls.Config) (int64, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	go func() {
		serverSide, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = serverSide.Close() }()
		conn := tls.Server(serverSide, server)
		if conn.HandshakeContext(context.Background()) == nil {
			_, _ = conn.Write([]byte("k"))
		}
	}()
	clientSide, err := net.Dial("tcp", ln.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = clientSide.Close() }()
	Expect(clientSide.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	conn := tls.Client(clientSide, client)
	if err := conn.HandshakeContext(context.Background()); err != nil {
		return 0, err
	}
	// In TLS 1.3 the server verifies the client certificate after the client has
	// finished its handshake, so only received data proves that it was accepted.
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

var _ = Describe("Source", func() {
	It("connects instances with certificates of the same authority and no others", func() {
		au := newAuthority()
		one, two := au.write(GinkgoT().TempDir(), 11), au.write(GinkgoT().TempDir(), 12)
		stranger := newAuthority().write(GinkgoT().TempDir(), 13)
		for _, so := range []*certificate.Source{one, two, stranger} {
			Expect(so.Load()).To(Succeed())
		}
		Expect(handshake(one.MutualConfig(), two.MutualConfig())).To(Equal(int64(11)))
		_, err := handshake(one.MutualConfig(), stranger.MutualConfig())
		Expect(err).To(HaveOccurred())
		_, err = handshake(one.MutualConfig(), &tls.Config{InsecureSkipVerify: true})
		Expect(err).To(HaveOccurred())
	})

	It("uses a changed certificate for new connections and keeps the previous one if the change is invalid", func() {
		au, dir := newAuthority(), GinkgoT().TempDir()
		so := au.write(dir, 21)
		clock := clockwork.NewFakeClockAt(time.Now())
		so.Clock = clock
		Expect(so.Load()).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = so.Run(ctx) }()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		client := &tls.Config{InsecureSkipVerify: true}
		serial := func() int64 {
			clock.Advance(2 * time.Second)
			number, err := handshake(so.ServerConfig(), client)
			Expect(err).NotTo(HaveOccurred())
			return number
		}
		au.write(dir, 22)
		later := time.Now().Add(time.Minute)
		Expect(os.Chtimes(so.CertFile, later, later)).To(Succeed())
		Eventually(serial, 10*time.Second).Should(Equal(int64(22)))
		Expect(os.WriteFile(so.KeyFile, []byte("broken"), 0o600)).To(Succeed())
		Consistently(serial, "200ms").Should(Equal(int64(22)))
	})
})
