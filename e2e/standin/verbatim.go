package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// Objects are encoded here and not by encoding/json, which refuses values of which the store
// knows nothing but that they are JSON: it limits their nesting.

// putVerbatim writes an object whose spec is the body, byte by byte, in place of any other. The
// query's revision, if given, is served in place of the object's own.
func (p *Platform) putVerbatim(w http.ResponseWriter, r *http.Request) {
	spec, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxObjectBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	obj := Object{Metadata: Metadata{Name: r.PathValue("name")}, Spec: spec, servedRevision: r.URL.Query().Get("revision")}
	writeObject(w, http.StatusOK, p.store.overwrite(r.PathValue("kind"), obj))
}

func writeObject(w http.ResponseWriter, status int, obj Object) {
	writeEncoded(w, status, appendObject(nil, obj))
}

func writePage(w http.ResponseWriter, page Page) {
	body := []byte(`{"items":[`)
	for i, obj := range page.Items {
		body = appendObject(appendComma(body, i), obj)
	}
	body = strconv.AppendBool(append(body, `],"hasMore":`...), page.HasMore)
	writeEncoded(w, http.StatusOK, appendRevision(body, page.Revision))
}

func writeChanges(w http.ResponseWriter, changes Changes) {
	body := []byte(`{"events":[`)
	for i, change := range changes.Events {
		body = append(appendComma(body, i), `{"object":`...)
		body = append(appendObject(body, change.Object), `,"deleted":`...)
		body = append(strconv.AppendBool(body, change.Deleted), '}')
	}
	writeEncoded(w, http.StatusOK, appendRevision(append(body, ']'), changes.Revision))
}

func appendComma(b []byte, index int) []byte {
	if index > 0 {
		return append(b, ',')
	}
	return b
}

// appendRevision appends the store's revision and the end of a list or watch.
func appendRevision(b []byte, revision uint64) []byte {
	return append(strconv.AppendUint(append(b, `,"at":`...), revision, 10), '}')
}

func appendObject(b []byte, obj Object) []byte {
	revision := obj.servedRevision
	if revision == "" {
		revision = strconv.FormatUint(obj.Metadata.Revision, 10)
	}
	name, _ := json.Marshal(obj.Metadata.Name)
	finalizers, _ := json.Marshal(obj.Metadata.Finalizers)
	b = append(append(append(b, `{"metadata":{"name":`...), name...), `,"revision":`...)
	b = append(append(append(b, revision...), `,"finalizers":`...), finalizers...)
	b = strconv.AppendBool(append(b, `,"deleting":`...), obj.Metadata.Deleting)
	b = appendValue(append(b, `},"spec":`...), obj.Spec)
	return append(appendValue(append(b, `,"status":`...), obj.Status), '}')
}

func appendValue(b []byte, value json.RawMessage) []byte {
	if value == nil {
		return append(b, "null"...)
	}
	return append(b, value...)
}
