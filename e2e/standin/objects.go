package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxPageObjects is the maximum number of objects in one page of a list.
const maxPageObjects = 500

// Metadata is the metadata of an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is an object in the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
	// servedRevision is served as the revision, if it is not empty.
	servedRevision string
}

// Page is one page of a list. Revision is the store's revision at the time of the
// call.
type Page struct {
	Items    []Object `json:"items"`
	HasMore  bool     `json:"hasMore"`
	Revision uint64   `json:"at"`
}

// Change is the latest write or the deletion of an object.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Changes is the response to a watch. Revision is the store's revision.
type Changes struct {
	Events   []Change `json:"events"`
	Revision uint64   `json:"at"`
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	obj, err := p.store.get(r.PathValue("kind"), r.PathValue("name"))
	if err != nil {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	writeObject(w, http.StatusOK, obj)
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	p.write(w, r, p.store.create)
}

func (p *Platform) replace(w http.ResponseWriter, r *http.Request) {
	p.write(w, r, p.store.replace)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, apply func(kind string, obj Object) (Object, error)) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxObjectBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var obj Object
	if err := json.Unmarshal(body, &obj); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	kind := r.PathValue("kind")
	obj.Metadata.Name = r.PathValue("name")
	written, err := apply(kind, obj)
	if err != nil {
		p.writeStoreError(w, err, written)
		return
	}
	p.loseResponse(kind, written.Metadata.Name)
	writeObject(w, http.StatusOK, written)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	revision := uint64(0)
	if text := r.URL.Query().Get("revision"); text != "" {
		var err error
		if revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeError(w, http.StatusBadRequest, "revision: want a whole number")
			return
		}
	}
	kind := r.PathValue("kind")
	removed, err := p.store.remove(kind, r.PathValue("name"), revision)
	if err != nil {
		p.writeStoreError(w, err, removed)
		return
	}
	p.loseResponse(kind, removed.Metadata.Name)
	writeObject(w, http.StatusOK, removed)
}

// list serves a list, or a watch if the query has the parameter watch.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		p.watch(w, r)
		return
	}
	kind := r.PathValue("kind")
	if kind == ServersKind && p.vms.isSet() {
		switches, _ := p.switches.get()
		writeJSON(w, http.StatusOK, p.vms.page(time.Now(), milliseconds(switches.VMLagMs)))
		return
	}
	writePage(w, p.store.list(kind, r.URL.Query().Get("after")))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "watch: want a revision")
		return
	}
	waitMs, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitMs < 0 {
		writeError(w, http.StatusBadRequest, "waitMs: want a count of milliseconds")
		return
	}
	timer := time.NewTimer(min(milliseconds(waitMs), maxWatchTime))
	defer timer.Stop()
	for {
		switches, switched := p.switches.get()
		if switches.Outage {
			p.writeUnavailable(w)
			return
		}
		if since < switches.HistoryFrom {
			writeError(w, http.StatusGone, "the history is gone")
			return
		}
		changes, changed := p.store.changesSince(r.PathValue("kind"), since)
		if len(changes.Events) > 0 {
			writeChanges(w, changes)
			return
		}
		select {
		case <-changed:
		case <-switched:
		case <-timer.C:
			writeChanges(w, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}
