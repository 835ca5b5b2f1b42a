package gateway

import (
	"context"
	"time"

	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/quarantine"
)

// load restores the blamed parts that outlived all routers, once the store answers. What is
// too old is removed from the store.
func (c *crashParts) load(ctx context.Context) {
	dep := dependency{name: "store blamed parts", log: c.log}
	for ctx.Err() == nil {
		stored, err := c.gateway.options.Store.ListBlamedParts(ctx)
		dep.report(err)
		if err == nil {
			c.restore(ctx, stored)
			return
		}
		node.Pause(ctx, c.gateway.options.StoreRetry)
	}
}

func (c *crashParts) restore(ctx context.Context, stored map[quarantine.PartID]quarantine.StoredBlame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, b := range stored {
		if b.Age > crashEvidenceTTL {
			go c.remove(ctx, id)
			continue
		}
		c.list.Restore(time.Now(), b.Blame)
	}
	c.logChanges(sourceStore)
}

// save stores a blamed part, unless it has been cleared meanwhile.
func (c *crashParts) save(ctx context.Context, b quarantine.Blame) {
	dep := dependency{name: "store blamed parts", log: c.log}
	for ctx.Err() == nil && c.isBlamed(b.Part) {
		err := c.gateway.options.Store.SaveBlamedPart(ctx, b)
		dep.report(err)
		if err == nil {
			return
		}
		node.Pause(ctx, c.gateway.options.StoreRetry)
	}
}

// remove removes a part from the store, unless it is blamed again.
func (c *crashParts) remove(ctx context.Context, id quarantine.PartID) {
	dep := dependency{name: "store blamed parts", log: c.log}
	for ctx.Err() == nil && !c.isBlamed(id) {
		err := c.gateway.options.Store.RemoveBlamedPart(ctx, id)
		dep.report(err)
		if err == nil {
			return
		}
		node.Pause(ctx, c.gateway.options.StoreRetry)
	}
}

func (c *crashParts) isBlamed(id quarantine.PartID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.list.Blamed(time.Now(), []quarantine.PartID{id})) > 0
}
