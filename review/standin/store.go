package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: lists, watches, conditional writes, history,
// and Store-Era.
type store struct {
	re *record
	ln net.Listener
	sv *http.Server

	mu       sync.Mutex
	revision int64
	era      int64
	objects  map[string]*object
	events   []event
	// gone is the revision up to which the history is not known any more.
	gone    int64
	changed chan struct{}
	// down is set while the store answers nobody.
	down bool
}

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
	kind      string
	revision  int64
	object    object
	tombstone bool
}

const pageSize = 500

func newStore(re *record) (*store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	st := &store{re: re, ln: ln, revision: 100, objects: make(map[string]*object), changed: make(chan struct{})}
	st.gone = st.revision
	st.sv = &http.Server{Handler: st}
	go func() { _ = st.sv.Serve(ln) }()
	return st, nil
}

func (st *store) address() string { return st.ln.Addr().String() }

// put writes an object as the operator or a replica does. The return is the confirmation.
func (st *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.putLocked(kind, name, data)
}

func (st *store) putLocked(kind, name string, spec json.RawMessage) *object {
	key := kind + "/" + name
	ob := st.objects[key]
	if ob != nil && string(ob.Spec) == string(spec) {
		return ob
	}
	st.revision++
	next := &object{Metadata: metadata{Name: name, Revision: st.revision, Created: st.revision, Finalizers: []string{}}, Spec: spec}
	if ob != nil {
		next.Metadata.Created, next.Status = ob.Metadata.Created, ob.Status
	}
	st.objects[key] = next
	st.emit(event{kind: kind, revision: st.revision, object: *next})
	return next
}

func (st *store) remove(kind, name string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	key := kind + "/" + name
	ob := st.objects[key]
	if ob == nil {
		return
	}
	st.revision++
	delete(st.objects, key)
	st.emit(event{kind: kind, revision: st.revision, object: object{Metadata: metadata{Name: name, Revision: st.revision}}, tombstone: true})
}

func (st *store) emit(ev event) {
	st.events = append(st.events, ev)
	close(st.changed)
	st.changed = make(chan struct{})
}

// backup is a copy of the store.
type backup struct {
	revision int64
	objects  map[string]*object
}

func (st *store) copy() backup {
	st.mu.Lock()
	defer st.mu.Unlock()
	return backup{revision: st.revision, objects: maps.Clone(st.objects)}
}

// setDown makes the store silent: it resets all channels and answers nobody.
func (st *store) setDown(down bool) {
	st.mu.Lock()
	st.down = down
	close(st.changed)
	st.changed = make(chan struct{})
	st.mu.Unlock()
}

// restore brings the store back from a copy.
func (st *store) restore(ba backup) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era++
	st.revision, st.objects, st.events, st.gone = ba.revision, maps.Clone(ba.objects), nil, ba.revision
	st.down = false
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	down, era := st.down, st.era
	st.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name != "":
		st.get(w, kind, name)
	case r.Method == http.MethodGet && query.Get("watch") != "":
		st.watch(w, r, kind)
	case r.Method == http.MethodGet:
		st.list(w, kind, query.Get("after"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		st.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		st.remove(kind, name)
		_, _ = w.Write([]byte("{}"))
	}
}

func (st *store) get(w http.ResponseWriter, kind, name string) {
	st.mu.Lock()
	ob := st.objects[kind+"/"+name]
	st.mu.Unlock()
	if ob == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(ob)
}

func (st *store) list(w http.ResponseWriter, kind, after string) {
	st.mu.Lock()
	var items []object
	for _, key := range slices.Sorted(maps.Keys(st.objects)) {
		if name, found := strings.CutPrefix(key, kind+"/"); found && name > after {
			items = append(items, *st.objects[key])
		}
	}
	asOf := st.revision
	st.mu.Unlock()
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	if items == nil {
		items = []object{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "as_of": asOf})
}

func (st *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	expired := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	st.mu.Lock()
	era := st.era
	st.mu.Unlock()
	for ended := false; ; {
		st.mu.Lock()
		if st.down || st.era != era {
			st.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if from < st.gone || from > st.revision {
			st.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		list := []map[string]any{}
		for _, ev := range st.events {
			if ev.kind == kind && ev.revision > from {
				list = append(list, map[string]any{"tombstone": ev.tombstone, "object": ev.object})
			}
		}
		asOf, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(list) > 0 || ended {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": list, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-expired:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (st *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata metadata        `json:"metadata"`
		Spec     json.RawMessage `json:"spec"`
		Status   json.RawMessage `json:"status"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	base, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		base = body.Metadata.Name
	}
	ob := st.objects[kind+"/"+base]
	switch {
	case r.Method == http.MethodPost && ob != nil,
		r.Method == http.MethodPut && ob != nil && body.Metadata.Revision != 0 && body.Metadata.Revision != ob.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(ob)
		return
	case r.Method == http.MethodPut && ob == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if isStatus {
		st.revision++
		next := *ob
		next.Status, next.Metadata.Revision = body.Status, st.revision
		st.objects[kind+"/"+base] = &next
		st.emit(event{kind: kind, revision: st.revision, object: next})
		_ = json.NewEncoder(w).Encode(next)
		return
	}
	_ = json.NewEncoder(w).Encode(st.putLocked(kind, base, body.Spec))
}
