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
	// suspectsKey is the platform object that stores the quarantine list, so that
	// it survives the replacement of all routers.
	suspectsKey = "quarantine/suspects"
	// maxStoredSuspects keeps the object below the platform's size limit.
	maxStoredSuspects = 1024
	// suspectsRetryInterval is the delay before a failed sync is retried.
	suspectsRetryInterval = time.Second
)

// storedSuspect is the stored form of a suspect.
type storedSuspect struct {
	Digest        string          `json:"digest"`
	Team          fleet.TeamID    `json:"team"`
	Service       fleet.ServiceID `json:"service"`
	CrashIDs      []string        `json:"crash_ids"`
	ExpiresUnixMs int64           `json:"expires_unix_ms"`
}

// persistSuspects syncs the quarantine list with the stored one at the start and
// after every crash that this router records, until ctx ends.
func (r *Router) persistSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.suspects.sync(ctx, r.store); err != nil {
			r.log.Debug("failed to sync the quarantine list; retrying", zap.Error(err))
			node.Pause(ctx, suspectsRetryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.suspects.saveNeeded:
		}
	}
}

// sync merges the stored list into this router's and writes the result if the
// stored list is incomplete. A write that conflicts with another router's or
// whose response is lost returns an error, and the next sync resolves it.
func (q *suspects) sync(ctx context.Context, store platform.Store) error {
	object, err := store.Get(ctx, suspectsKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return eris.Wrap(err, "read the quarantine list")
	}
	stored := map[string]storedSuspect{}
	for _, s := range decodeSuspects(object.Value) {
		stored[s.Digest] = s
		q.Merge([]quarantine.Suspect{s.suspect()})
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
		return eris.Wrap(err, "encode the quarantine list")
	}
	_, err = store.Put(ctx, suspectsKey, data, platform.IfVersion(object.Version))
	return eris.Wrap(err, "write the quarantine list")
}

// decodeSuspects decodes a stored list. It returns an empty list for one that
// can't be decoded, which the next write then replaces.
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

// storableSuspects returns the suspects to store, ordered by digest. Of more than
// maxStoredSuspects it selects those that expire last.
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
