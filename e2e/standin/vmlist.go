package standin

import (
	"encoding/json"
	"net"
	"sync"
	"time"
)

// VM describes the VM of a server in a control request.
type VM struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// VMListing is the body of POST /vms.
type VMListing struct {
	VMs []VM `json:"vms"`
}

type vmVersion struct {
	from time.Time
	vms  []VM
}

// vmList holds all versions of the VM list, so that it can be read with a lag.
type vmList struct {
	mu       sync.Mutex
	versions []vmVersion
}

func (l *vmList) set(vms []VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, vmVersion{from: now, vms: vms})
}

// isSet reports whether a list has been set.
func (l *vmList) isSet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.versions) > 0
}

// page returns the servers' objects as of now minus lag.
func (l *vmList) page(now time.Time, lag time.Duration) Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := Page{Items: []Object{}}
	for i, version := range l.versions {
		if version.from.After(now.Add(-lag)) {
			break
		}
		page.Revision = uint64(i + 1)
		page.Items = serverEntries(version.vms, page.Revision)
	}
	return page
}

// serverEntries returns one server object per VM.
func serverEntries(vms []VM, revision uint64) []Object {
	states := map[string]string{"live": ServerReady, "leaving": ServerDraining}
	out := make([]Object, 0, len(vms))
	for _, vm := range vms {
		spec, err := json.Marshal(Registration{
			Service: "service", Address: net.JoinHostPort(vm.Address, "80"), FailureDomain: "zone", Slots: 1,
			State: states[vm.State], StartedUnixMs: int64(vm.Incarnation),
		})
		if err != nil {
			panic(err) // Registration always encodes.
		}
		out = append(out, Object{Metadata: Metadata{Name: vm.ID, Revision: revision}, Spec: spec})
	}
	return out
}
