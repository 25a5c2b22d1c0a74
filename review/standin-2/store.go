package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the metadata of an object of the store, as the users' pages show it.
type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`

	kind     string
	revision int64
}

const (
	// pageItems and pageBytes bound a page of a list.
	pageItems = 500
	pageBytes = 1 << 20
	// valueBytes is the largest value of an object.
	valueBytes = 1 << 20
)

// store is a stand-in of the platform's store: HTTP/1.1, one revision counter, lists in pages,
// watches that wait.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	era      int64
	objects  map[string]map[string]object
	events   []event
	server   http.Server
	address  string
}

func newStore(ln net.Listener) *store {
	st := &store{revision: 100, era: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), address: ln.Addr().String()}
	st.server.Handler = http.HandlerFunc(st.serve)
	go func() { _ = st.server.Serve(ln) }()
	return st
}

// put writes an object and returns when the store has accepted it.
func (st *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.write(kind, name, data)
	return time.Now()
}

func (st *store) write(kind, name string, spec json.RawMessage) object {
	if st.objects[kind] == nil {
		st.objects[kind] = make(map[string]object)
	}
	ob, found := st.objects[kind][name]
	if found && string(ob.Spec) == string(spec) {
		return ob
	}
	st.revision++
	if !found {
		ob.Metadata = metadata{Name: name, Created: st.revision, Finalizers: []string{}}
	}
	ob.Metadata.Revision, ob.Spec = st.revision, spec
	st.objects[kind][name] = ob
	st.append(event{Object: ob, kind: kind, revision: st.revision})
	return ob
}

// remove removes an object and returns when the store has accepted that.
func (st *store) remove(kind, name string) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	if ob, found := st.objects[kind][name]; found {
		st.revision++
		delete(st.objects[kind], name)
		ob.Metadata.Revision = st.revision
		st.append(event{Object: ob, Tombstone: true, kind: kind, revision: st.revision})
	}
	return time.Now()
}

func (st *store) append(ev event) {
	st.events = append(st.events, ev)
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) serve(w http.ResponseWriter, re *http.Request) {
	w.Header().Set("Store-Era", strconv.FormatInt(st.era, 10))
	parts := strings.Split(strings.TrimPrefix(re.URL.Path, "/v1/objects/"), "/")
	switch {
	case re.Method == http.MethodGet && len(parts) == 1 && re.URL.Query().Get("watch") != "":
		st.watch(w, re, parts[0])
	case re.Method == http.MethodGet && len(parts) == 1:
		st.list(w, re, parts[0])
	case re.Method == http.MethodGet:
		st.mu.Lock()
		ob, found := st.objects[parts[0]][parts[1]]
		st.mu.Unlock()
		answer(w, map[bool]int{true: 200, false: 404}[found], ob)
	case re.Method == http.MethodDelete:
		st.remove(parts[0], parts[1])
		answer(w, 200, struct{}{})
	default:
		st.change(w, re, parts)
	}
}

// change serves POST and PUT.
func (st *store) change(w http.ResponseWriter, re *http.Request, parts []string) {
	var ob object
	if err := json.NewDecoder(http.MaxBytesReader(w, re.Body, 2*valueBytes)).Decode(&ob); err != nil || len(ob.Spec) > valueBytes {
		answer(w, 400, struct{}{})
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	name := ob.Metadata.Name
	if re.Method == http.MethodPut {
		name = parts[1]
	}
	present, found := st.objects[parts[0]][name]
	switch {
	case re.Method == http.MethodPost && found:
		answer(w, 409, present)
	case re.Method == http.MethodPut && !found:
		answer(w, 404, struct{}{})
	case ob.Metadata.Revision != 0 && ob.Metadata.Revision != present.Metadata.Revision:
		answer(w, 409, present)
	default:
		answer(w, 200, st.write(parts[0], name, ob.Spec))
	}
}

func (st *store) list(w http.ResponseWriter, re *http.Request, kind string) {
	after := re.URL.Query().Get("after")
	st.mu.Lock()
	defer st.mu.Unlock()
	var names []string
	for name := range st.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, size, more := []object{}, 0, false
	for _, name := range names {
		ob := st.objects[kind][name]
		if len(items) >= pageItems || len(items) > 0 && size+len(ob.Spec) > pageBytes {
			more = true
			break
		}
		items, size = append(items, ob), size+len(ob.Spec)
	}
	answer(w, 200, map[string]any{"items": items, "has_more": more, "as_of": st.revision})
}

func (st *store) watch(w http.ResponseWriter, re *http.Request, kind string) {
	since, _ := strconv.ParseInt(re.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(re.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		list, asOf, changed := []event{}, st.revision, st.changed
		for _, ev := range st.events {
			if ev.kind == kind && ev.revision > since {
				list = append(list, ev)
			}
		}
		st.mu.Unlock()
		if since > asOf {
			answer(w, 410, struct{}{})
			return
		}
		if len(list) > 0 {
			answer(w, 200, map[string]any{"events": list, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, 200, map[string]any{"events": list, "as_of": asOf})
			return
		case <-re.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("store: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
