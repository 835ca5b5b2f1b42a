package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// ErrWriteObject reports an object that could not be written to the platform stand-in.
var ErrWriteObject = eris.New("harness: object not written")

// Put creates or replaces an object on the platform stand-in.
func (f *GatewayFleet) Put(ctx context.Context, kind, name string, spec any) error {
	body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return eris.Wrap(ErrWriteObject, err.Error())
	}
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		status, err := f.callObject(ctx, method, kind, name, body)
		if err != nil {
			return err
		}
		if status == http.StatusOK {
			return nil
		}
	}
	return eris.Wrapf(ErrWriteObject, "%s/%s", kind, name)
}

// PutVerbatim creates or replaces an object whose spec is JSON that is sent byte by byte, also
// during an outage. A revision that is not empty is served in place of the object's own.
func (f *GatewayFleet) PutVerbatim(ctx context.Context, kind, name, spec, revision string) error {
	path := fmt.Sprintf("%s/objects/%s/%s?revision=%s", f.Platform.URL(), kind, name, url.QueryEscape(revision))
	status, err := send(ctx, http.MethodPut, path, []byte(spec))
	if err == nil && status != http.StatusOK {
		err = eris.Wrapf(ErrWriteObject, "%s/%s: status %d", kind, name, status)
	}
	return err
}

// Delete deletes an object on the platform stand-in.
func (f *GatewayFleet) Delete(ctx context.Context, kind, name string) error {
	status, err := f.callObject(ctx, http.MethodDelete, kind, name, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Wrapf(ErrWriteObject, "delete %s/%s: status %d", kind, name, status)
	}
	return nil
}

// Evacuate begins the evacuation of a failure domain. The platform has acknowledged it
// when Evacuate returns.
func (f *GatewayFleet) Evacuate(ctx context.Context, failureDomain string) error {
	return f.Put(ctx, standin.EvacuationsKind, failureDomain, standin.Evacuation{})
}

// EndEvacuation ends the evacuation of a failure domain.
func (f *GatewayFleet) EndEvacuation(ctx context.Context, failureDomain string) error {
	return f.Delete(ctx, standin.EvacuationsKind, failureDomain)
}

// callObject sends a request for an object and returns the status of the response.
func (f *GatewayFleet) callObject(ctx context.Context, method, kind, name string, body []byte) (int, error) {
	return send(ctx, method, fmt.Sprintf("http://%s/fulmarspindle/objects/%s/%s", f.PlatformAddress, kind, name), body)
}

// send sends a request and returns the status of the response.
func send(ctx context.Context, method, target string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(ErrWriteObject, err.Error())
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, eris.Wrap(ErrWriteObject, err.Error())
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
