package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store, as PROTOCOL.md describes it: objects by kind and name, lists,
// watches and one counter of revisions.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]json.RawMessage // by kind/name
	events   []storeEvent
	changed  chan struct{}
}

// answerTime is the time that the store takes for an answer, as SYSTEM.md says.
const answerTime = 4 * time.Millisecond

type storeEvent struct {
	revision   int64
	kind, name string
	spec       json.RawMessage
	tombstone  bool
}

type storeObject struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// startStore serves a store on a free port of an address.
func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	st := &store{address: ln.Addr().String(), revision: 10, objects: make(map[string]json.RawMessage), changed: make(chan struct{})}
	se := &http.Server{Handler: st, ReadHeaderTimeout: time.Minute}
	go func() { _ = se.Serve(ln) }()
	return st, nil
}

// put writes an object, as an operator or a replica does.
func (st *store) put(kind, name string, spec any) {
	data, _ := json.Marshal(spec)
	st.change(storeEvent{kind: kind, name: name, spec: data})
}

// remove removes an object, as a replica that leaves does.
func (st *store) remove(kind, name string) {
	st.change(storeEvent{kind: kind, name: name, tombstone: true})
}

func (st *store) change(ev storeEvent) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	ev.revision = st.revision
	st.events = append(st.events, ev)
	if ev.tombstone {
		delete(st.objects, ev.kind+"/"+ev.name)
	} else {
		st.objects[ev.kind+"/"+ev.name] = ev.spec
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(rw http.ResponseWriter, re *http.Request) {
	time.Sleep(answerTime)
	rw.Header().Set("Store-Era", "0")
	rw.Header().Set("Content-Type", "application/json")
	kind, name, _ := strings.Cut(strings.TrimPrefix(re.URL.Path, "/v1/objects/"), "/")
	switch {
	case re.Method == http.MethodGet && re.URL.Query().Get("watch") != "":
		st.watch(rw, re, kind)
	case re.Method == http.MethodGet:
		st.list(rw, re, kind, name)
	case re.Method == http.MethodPost, re.Method == http.MethodPut:
		st.write(rw, re, kind, name)
	case re.Method == http.MethodDelete:
		st.change(storeEvent{kind: kind, name: name, tombstone: true})
		_, _ = rw.Write([]byte("{}"))
	}
}

func (st *store) list(rw http.ResponseWriter, re *http.Request, kind, only string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var names []string
	for key := range st.objects {
		if name, found := strings.CutPrefix(key, kind+"/"); found && name > re.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []storeObject{}
	for _, name := range names {
		items = append(items, newObject(name, st.revision, st.objects[kind+"/"+name]))
	}
	if only == "" {
		_ = json.NewEncoder(rw).Encode(map[string]any{"items": items, "has_more": false, "as_of": st.revision})
		return
	}
	if ix := slices.Index(names, only); ix >= 0 {
		_ = json.NewEncoder(rw).Encode(items[ix])
		return
	}
	rw.WriteHeader(http.StatusNotFound)
}

func newObject(name string, revision int64, spec json.RawMessage) storeObject {
	var ob storeObject
	ob.Metadata.Name, ob.Metadata.Revision, ob.Metadata.Finalizers, ob.Spec = name, revision, []string{}, spec
	return ob
}

func (st *store) write(rw http.ResponseWriter, re *http.Request, kind, name string) {
	var ob storeObject
	if json.NewDecoder(re.Body).Decode(&ob) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = ob.Metadata.Name
		st.mu.Lock()
		_, exists := st.objects[kind+"/"+name]
		st.mu.Unlock()
		if exists {
			rw.WriteHeader(http.StatusConflict)
			return
		}
	}
	st.change(storeEvent{kind: kind, name: name, spec: ob.Spec})
	_, _ = rw.Write([]byte("{}"))
}

func (st *store) watch(rw http.ResponseWriter, re *http.Request, kind string) {
	from, _ := strconv.ParseInt(re.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(re.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		st.mu.Lock()
		events, asOf, changed := []any{}, st.revision, st.changed
		for _, ev := range st.events {
			if ev.kind == kind && ev.revision > from {
				events = append(events, map[string]any{"object": newObject(ev.name, ev.revision, ev.spec), "tombstone": ev.tombstone})
			}
		}
		st.mu.Unlock()
		if len(events) > 0 || ended {
			_ = json.NewEncoder(rw).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			ended = true
		case <-re.Context().Done():
			return
		}
	}
}
