package setting_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/setting"
)

func TestSetting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "setting")
}

const valid = `{
	// An instance of zilina-a.
	"name": "entry-1",
	"zone": "zilina-a",
	"caller": {"listen": "127.0.0.1:0"},
	"operator": {"listen": "127.0.0.1:0"},
	"peer": {"listen": "127.0.0.1:0"},
	"platform": {"url": "http://127.0.0.1:7000"},
	"resume_key": "000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f",
	"allow_plaintext": true,
}`

var _ = Describe("Parse", func() {
	It("accepts a complete file and fills in defaults", func() {
		se, err := setting.Parse("f", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(se.Limits).To(Equal(setting.Default().Limits))
	})

	DescribeTable("reports each fault with its line and field",
		func(old, replacement, fault string) {
			_, err := setting.Parse("f", []byte(strings.Replace(valid, old, replacement, 1)))
			Expect(err).To(MatchError(ContainSubstring(fault)))
		},
		Entry("unknown field", `"zone"`, `"area"`, `f:4: area: is not a setting`),
		Entry("wrong type", `true`, `"yes"`, `f:10: allow_plaintext: must be true or false`),
		Entry("field set twice", `"zone": "zilina-a"`, `"zone": "zilina-a", "zone": "b"`, `f:4: zone: is set twice`),
		Entry("host name in place of an IP number", `127.0.0.1:0`, `localhost:0`, `f:5: caller.listen: must be an IP number`),
		Entry("wildcard address of the peer listener", `"peer": {"listen": "127.0.0.1:0"}`, `"peer": {"listen": "0.0.0.0:0"}`, `f:7: peer.listen: must be the IP number at which`),
		Entry("peer by host name", `"allow_plaintext"`, `"peers": ["10.0.0.1:7100", "entry-2:7100"], "allow_plaintext"`, `f:10: peers[1]: must be an IP number`),
		Entry("peers not a list", `"allow_plaintext"`, `"peers": "10.0.0.1:7100", "allow_plaintext"`, `f:10: peers: must be a list`),
		Entry("short key", `000102`, ``, `f:9: resume_key: must be 64 hex digits`),
		Entry("listener without TLS and without allow_plaintext", `true`, `false`, `f:5: caller.tls: needs cert_file`),
		Entry("bad duration", `"allow_plaintext"`, `"limits": {"timeout": 5}, "allow_plaintext"`, `f:10: limits.timeout: must be a duration`),
		Entry("too little memory", `"allow_plaintext"`, `"limits": {"memory_mb": 63}, "allow_plaintext"`, `f:10: limits.memory_mb: must be 0 or at least 64`),
		Entry("bodies too large for the memory", `"allow_plaintext"`, `"limits": {"memory_mb": 64, "body_bytes": 4194305}, "allow_plaintext"`, `f:10: limits.body_bytes: must be at most a sixteenth of limits.memory_mb`),
		Entry("syntax", `"zone":`, `"zone"`, `f:4: syntax:`),
		Entry("not an object", valid, `[]`, `f:1: settings: must be an object`),
	)
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"name": {"a": [1]}, "limits": 3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		se, err := setting.Parse("f", data)
		if err == nil && (se.Name == "" || se.Platform.URL == "") {
			t.Fatalf("incomplete settings were accepted: %q", data)
		}
	})
}
