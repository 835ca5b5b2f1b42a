package standin

import (
	"sync"
	"time"
)

// VM is one entry of the platform's VM list.
type VM struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// VMListing is the answer of the VM list.
type VMListing struct {
	VMs []VM `json:"vms"`
}

type vmVersion struct {
	since time.Time
	vms   []VM
}

// vmList keeps the versions of the VM list, to show them with a lag.
type vmList struct {
	mu       sync.Mutex
	versions []vmVersion
}

func (l *vmList) set(vms []VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, vmVersion{since: now, vms: vms})
}

// visible returns the list as it stood lag before now.
func (l *vmList) visible(now time.Time, lag time.Duration) VMListing {
	l.mu.Lock()
	defer l.mu.Unlock()
	listing := VMListing{VMs: []VM{}}
	for _, version := range l.versions {
		if version.since.After(now.Add(-lag)) {
			break
		}
		listing.VMs = version.vms
	}
	return listing
}
