package configuration_test

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
)

// droppingStore drops the first update. Its sender gets no answer.
type droppingStore struct {
	platform.Store
	dropped bool
}

func (ds *droppingStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if !ds.dropped {
		ds.dropped = true
		return 0, &platform.Error{Op: "update", Key: key, Kind: platform.Unknown}
	}
	return ds.Store.Update(ctx, key, previous, value)
}

// Guards against a head that names a shard that the garbage collection deletes:
// the shard existed, the request to rewrite it was lost, and the content of the
// old object was taken for that of the write.
func TestShardIsRewrittenAfterLostRequest(t *testing.T) {
	for name, guarded := range map[string]bool{"store": false, "guard": true} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			fake := platformfake.New()
			cf := fullSizeConfiguration(t)
			head, err := configuration.Publish(t.Context(), fake, 0, cf)
			gm.Expect(err).NotTo(HaveOccurred())
			before, err := fake.List(t.Context(), configuration.ShardPrefix)
			gm.Expect(err).NotTo(HaveOccurred())
			var store platform.Store = &droppingStore{Store: fake}
			if guarded {
				store = (&platform.Guard{Store: store, Clock: clockwork.NewRealClock()}).For(platform.ClassConfiguration)
			}
			_, err = configuration.Publish(t.Context(), store, head, cf)
			gm.Expect(err).NotTo(HaveOccurred())
			for _, old := range before.Objects {
				ob, err := fake.Get(t.Context(), old.Key)
				gm.Expect(err).NotTo(HaveOccurred())
				gm.Expect(ob.Version).To(BeNumerically(">", old.Version))
			}
		})
	}
}
