package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeEncoded(w, status, data)
}

// writeEncoded writes a body that is JSON already.
func writeEncoded(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, errorBody{Error: reason})
}

// readBody reads the request body; it fails if the body exceeds limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (*bytes.Reader, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, err
	}
	return bytes.NewReader(data), nil
}
