package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/platform"
)

const (
	// watchTimeout is how long a watch request waits for a change.
	watchTimeout = 20 * time.Second
	// minEvents is the number of latest changes that watches can always read.
	// When more than twice as many are stored, older ones are discarded.
	minEvents = 65536
)

// Platform is a stand-in for the platform: its object store with versions and
// watches, and its list of instances. Use NewPlatform to create it.
type Platform struct {
	base
	// ListLag is the delay until a change of the list of instances is visible.
	ListLag time.Duration

	// stateMu protects the following fields.
	stateMu  sync.Mutex
	objects  map[string]platform.Object
	events   []platform.Object
	revision int64
	// changed is closed and replaced at each write.
	changed chan struct{}
	// lists has all lists of instances, oldest first.
	lists  []instanceList
	reads  int64
	writes int64
}

// instanceList is a list of instances and the time at which it was received.
type instanceList struct {
	at   time.Time
	list []platform.Instance
}

// NewPlatform returns a platform without objects and instances. The lag sets
// ListLag.
func NewPlatform(lag time.Duration) *Platform {
	return &Platform{ListLag: lag, objects: make(map[string]platform.Object), changed: make(chan struct{})}
}

// platformLoad is the answer to GET /standin/load.
type platformLoad struct {
	BootID string `json:"boot_id"`
	Reads  int64  `json:"reads"`
	Writes int64  `json:"writes"`
}

// Load implements Handler.
func (pl *Platform) Load() any {
	pl.stateMu.Lock()
	defer pl.stateMu.Unlock()
	return platformLoad{BootID: bootID, Reads: pl.reads, Writes: pl.writes}
}

// Serve implements Handler.
func (pl *Platform) Serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/instances" && ctx.IsPost():
		pl.putInstances(ctx)
	case path == "/instances":
		writeJSON(ctx, pl.instances())
	case path == "/objects" && ctx.QueryArgs().GetBool("watch"):
		pl.watch(ctx)
	case path == "/objects":
		pl.list(ctx)
	case strings.HasPrefix(path, "/objects/"):
		pl.object(ctx, strings.TrimPrefix(path, "/objects/"))
	default:
		ctx.Error("no such path", http.StatusNotFound)
	}
}

func (pl *Platform) putInstances(ctx *fasthttp.RequestCtx) {
	var list []platform.Instance
	if err := json.Unmarshal(ctx.PostBody(), &list); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	pl.stateMu.Lock()
	defer pl.stateMu.Unlock()
	pl.lists = append(pl.lists, instanceList{at: time.Now(), list: list})
}

// instances returns the list of instances as it was ListLag ago. The first list is
// visible immediately.
func (pl *Platform) instances() []platform.Instance {
	pl.stateMu.Lock()
	defer pl.stateMu.Unlock()
	pl.reads++
	shown := []platform.Instance{}
	for ix, il := range pl.lists {
		if ix == 0 || time.Since(il.at) >= pl.ListLag {
			shown = il.list
		}
	}
	return shown
}

func (pl *Platform) list(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	pl.stateMu.Lock()
	pl.reads++
	li := platform.Listing{Revision: pl.revision, Objects: []platform.Object{}}
	for key, ob := range pl.objects {
		if strings.HasPrefix(key, prefix) {
			li.Objects = append(li.Objects, ob)
		}
	}
	pl.stateMu.Unlock()
	slices.SortFunc(li.Objects, func(le, ri platform.Object) int { return strings.Compare(le.Key, ri.Key) })
	writeJSON(ctx, li)
}

// watch answers as soon as there are changes after a version, or with an empty list
// after watchTimeout.
func (pl *Platform) watch(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.Error("after: "+err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.After(watchTimeout)
	for {
		li, changed := pl.since(prefix, after)
		if len(li.Objects) > 0 {
			writeJSON(ctx, li)
			return
		}
		select {
		case <-changed:
			if pl.currentFault().Mode == ModeDown {
				hangUp(ctx)
				return
			}
		case <-timeout:
			writeJSON(ctx, li)
			return
		}
	}
}

// since returns the changes after a version of keys with the prefix, and a channel
// that is closed at the next change.
func (pl *Platform) since(prefix string, after int64) (platform.Listing, chan struct{}) {
	pl.stateMu.Lock()
	defer pl.stateMu.Unlock()
	pl.reads++
	li := platform.Listing{Revision: pl.revision, Objects: []platform.Object{}}
	from, _ := slices.BinarySearchFunc(pl.events, after+1, func(ob platform.Object, version int64) int {
		return int(ob.Version - version)
	})
	for _, ob := range pl.events[from:] {
		if strings.HasPrefix(ob.Key, prefix) {
			li.Objects = append(li.Objects, ob)
		}
	}
	return li, pl.changed
}

// object reads an object, or writes or deletes it if the version in the request is the
// current one.
func (pl *Platform) object(ctx *fasthttp.RequestCtx, key string) {
	pl.stateMu.Lock()
	defer pl.stateMu.Unlock()
	ob, found := pl.objects[key]
	if ctx.IsGet() {
		pl.reads++
		if !found {
			ctx.Error("no such object", http.StatusNotFound)
			return
		}
		ctx.SetBody(ob.Value)
		ctx.Response.Header.Set("Object-Version", strconv.FormatInt(ob.Version, 10))
		return
	}
	pl.writes++
	previous, err := strconv.ParseInt(string(ctx.Request.Header.Peek("If-Object-Version")), 10, 64)
	if err != nil || len(ctx.PostBody()) > platform.MaxValueBytes {
		ctx.Error("bad write", http.StatusBadRequest)
		return
	}
	if previous != ob.Version {
		ctx.Error("version differs", http.StatusPreconditionFailed)
		return
	}
	pl.write(ctx, key)
}

// write stores or deletes an object under a new revision and wakes the watches. The
// caller holds stateMu.
func (pl *Platform) write(ctx *fasthttp.RequestCtx, key string) {
	pl.revision++
	ob := platform.Object{Key: key, Version: pl.revision}
	if ctx.IsDelete() {
		ob.Deleted = true
		delete(pl.objects, key)
	} else {
		ob.Value = append([]byte{}, ctx.PostBody()...)
		pl.objects[key] = ob
	}
	pl.events = append(pl.events, ob)
	if len(pl.events) > 2*minEvents {
		pl.events = slices.Clone(pl.events[minEvents:])
	}
	close(pl.changed)
	pl.changed = make(chan struct{})
	ctx.Response.Header.Set("Object-Version", strconv.FormatInt(ob.Version, 10))
}
