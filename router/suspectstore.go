package router

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/platform"
	"fulmarspindle.example/fulmarspindle/quarantine"
)

const (
	// suspectsKey is the platform object that keeps the quarantine list while
	// all routers are replaced.
	suspectsKey = "quarantine/suspects"
	// maxStoredSuspects keeps the object under the platform's size limit.
	maxStoredSuspects = 1024
	// suspectsRetryInterval is the pause after a failed call.
	suspectsRetryInterval = time.Second
)

// storedSuspect is a suspect as the platform keeps it.
type storedSuspect struct {
	Digest        string          `json:"digest"`
	Team          fleet.TeamID    `json:"team"`
	Service       fleet.ServiceID `json:"service"`
	CrashIDs      []string        `json:"crash_ids"`
	ExpiresUnixMs int64           `json:"expires_unix_ms"`
}

// persistSuspects reads the kept list at the start, and writes the list whenever
// this router has seen a crash, until ctx ends.
func (r *Router) persistSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.suspects.sync(ctx, r.store); err != nil {
			r.log.Debug("suspects not kept", zap.Error(err))
			node.Pause(ctx, suspectsRetryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.suspects.saveNeeded:
		}
	}
}

// sync merges the kept list into this router's and writes what it lacks. A
// write that lost a race, or its answer, is settled by the next sync.
func (q *suspects) sync(ctx context.Context, store platform.Store) error {
	object, err := store.Get(ctx, suspectsKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return eris.Wrap(err, "read the suspects")
	}
	stored := map[string]storedSuspect{}
	for _, s := range decodeSuspects(object.Value) {
		stored[s.Digest] = s
		q.Learn([]quarantine.Suspect{s.suspect()})
	}
	all := storableSuspects(q.All())
	complete := !slices.ContainsFunc(all, func(s storedSuspect) bool {
		return !slices.Equal(s.CrashIDs, stored[s.Digest].CrashIDs)
	})
	if complete {
		return nil
	}
	data, err := json.Marshal(all)
	if err != nil {
		return eris.Wrap(err, "encode the suspects")
	}
	_, err = store.Put(ctx, suspectsKey, data, platform.IfVersion(object.Version))
	return eris.Wrap(err, "write the suspects")
}

// decodeSuspects reads a kept list. One that can't be read is replaced.
func decodeSuspects(data []byte) []storedSuspect {
	var list []storedSuspect
	if err := json.Unmarshal(data, &list); err != nil {
		return nil
	}
	return list
}

func (s storedSuspect) suspect() quarantine.Suspect {
	return quarantine.Suspect{
		Digest:   s.Digest,
		Team:     s.Team,
		Service:  s.Service,
		CrashIDs: s.CrashIDs,
		Expires:  time.UnixMilli(s.ExpiresUnixMs),
	}
}

// storableSuspects returns the suspects to keep: those that expire last.
func storableSuspects(list []quarantine.Suspect) []storedSuspect {
	slices.SortStableFunc(list, func(a, b quarantine.Suspect) int { return b.Expires.Compare(a.Expires) })
	list = list[:min(len(list), maxStoredSuspects)]
	slices.SortFunc(list, func(a, b quarantine.Suspect) int { return cmp.Compare(a.Digest, b.Digest) })
	out := make([]storedSuspect, 0, len(list))
	for _, s := range list {
		out = append(out, storedSuspect{
			Digest:        s.Digest,
			Team:          s.Team,
			Service:       s.Service,
			CrashIDs:      s.CrashIDs,
			ExpiresUnixMs: s.Expires.UnixMilli(),
		})
	}
	return out
}
