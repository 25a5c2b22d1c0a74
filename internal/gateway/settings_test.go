package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A reload applies the store's address, two bounds and the rules on keys. An operator who changes
// anything else is told that it takes a restart.
func TestNeedsRestart(t *testing.T) {
	for _, ca := range []struct {
		name   string
		change func(se *Settings)
		want   bool
	}{
		{"nothing", func(*Settings) {}, false},
		{"store", func(se *Settings) { se.Store = "10.0.0.9:80" }, false},
		{"bound of keys", func(se *Settings) { se.KeyRevocationBound = time.Second }, false},
		{"bound of configurations", func(se *Settings) { se.ConfigurationBound = time.Second }, false},
		{"rules on keys", func(se *Settings) { se.RequireKeys = true }, false},
		{"callers", func(se *Settings) { se.Callers = "10.0.0.1:81" }, true},
		{"peers", func(se *Settings) { se.Peers = "10.0.0.1:7200" }, true},
		{"link", func(se *Settings) { se.LinkMbps = 20 }, true},
		{"shutdown timeout", func(se *Settings) { se.ShutdownTimeout = time.Second }, true},
		{"retry ratio", func(se *Settings) { se.RetryRatio = 0.1 }, true},
		{"retry window", func(se *Settings) { se.RetryWindow = time.Second }, true},
		{"retry extra", func(se *Settings) { se.RetryExtra = 5 }, true},
	} {
		t.Run(ca.name, func(t *testing.T) {
			old := Settings{Instance: "i", Zone: "a", Callers: "10.0.0.1:80", LinkMbps: 200}
			se := old
			ca.change(&se)
			NewWithT(t).Expect(se.needsRestart(old)).To(Equal(ca.want))
		})
	}
}
