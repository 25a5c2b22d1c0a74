package platform_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
	"filbertstall.example/filbertstall/internal/platform"
)

// Guards against a listing without its list that counted as one with nothing in it: the sweep
// deletes shards that no plan names, and it read that there are no plans.
func TestListingWithoutItsListIsNone(t *testing.T) {
	whole := answerfake.Sound()[0]
	for text, valid := range map[string]bool{
		`{}`: false, `null`: false, `{"revision":7}`: false, `{"objects":[]}`: false,
		`{"revision":7,"objects":[]}`: true, `{"revision":7,"objects":null}`: true, `{"revision":0,"objects":[]}`: true,
	} {
		t.Run(text, func(t *testing.T) {
			g := NewWithT(t)
			store := func() *platform.HTTPStore {
				return &platform.HTTPStore{URL: "http://" + answerfake.Serve(t, func(*http.Request) string { return whole.Answer("", text) })}
			}
			_, err := store().List(t.Context(), "plans/")
			g.Expect(err == nil).To(Equal(valid), "list: %v", err)
			g.Expect(platform.IsKind(err, platform.Unavailable)).To(Equal(!valid), "list")
			_, err = store().Watch(t.Context(), "plans/", 1)
			g.Expect(err == nil).To(Equal(valid), "watch: %v", err)
		})
	}
}
