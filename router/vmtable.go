package router

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/platform"
)

// vmTable is this router's copy of the VM list. Its digest does not depend on the
// order of the list.
type vmTable struct {
	byID   map[fleet.VMID]platform.VMStatus
	digest uint64
}

func newVMTable() vmTable {
	return vmTable{byID: make(map[fleet.VMID]platform.VMStatus)}
}

// replace replaces the list and returns the changes, ordered by VM.
func (t *vmTable) replace(list []platform.VMStatus) []*peerpb.VMChange {
	var changes []*peerpb.VMChange
	listed := make(map[fleet.VMID]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
		old, known := t.byID[vm.ID]
		if known && old.Incarnation == vm.Incarnation && old.State == vm.State {
			continue
		}
		changes = append(changes, &peerpb.VMChange{Vm: string(vm.ID), Incarnation: vm.Incarnation, State: string(vm.State)})
	}
	for id := range t.byID {
		if !listed[id] {
			changes = append(changes, &peerpb.VMChange{Vm: string(id), Removed: true})
		}
	}
	slices.SortFunc(changes, func(a, b *peerpb.VMChange) int { return cmp.Compare(a.GetVm(), b.GetVm()) })
	t.apply(changes)
	return changes
}

// apply applies changes to the list and updates the digest.
func (t *vmTable) apply(changes []*peerpb.VMChange) {
	for _, c := range changes {
		id := fleet.VMID(c.GetVm())
		if old, known := t.byID[id]; known {
			t.digest ^= hashVM(old)
			delete(t.byID, id)
		}
		if c.GetRemoved() {
			continue
		}
		vm := platform.VMStatus{ID: id, Incarnation: c.GetIncarnation(), State: platform.VMState(c.GetState())}
		t.byID[id] = vm
		t.digest ^= hashVM(vm)
	}
}

func hashVM(vm platform.VMStatus) uint64 {
	return xxhash.Sum64String(string(vm.ID) + "\x00" + strconv.FormatUint(vm.Incarnation, 10) + "\x00" + string(vm.State))
}
