package config

import (
	"time"

	"fulmarspindle.example/fulmarspindle/platform"
)

// Proposal is a configuration that an operator wants to put in force.
type Proposal struct {
	Inventory Inventory
	// Base is the generation that the proposal was edited from; zero for the
	// first configuration.
	Base   uint64
	Author string
	// ChangeID identifies the proposal. A repeated Apply with the same
	// ChangeID is accepted at most once. Empty makes Apply choose one.
	ChangeID string
}

// Publisher accepts configurations through the platform. It is safe for
// concurrent use, also by different processes.
type Publisher struct {
	store platform.Store
	now   func() time.Time
}

// NewPublisher returns a publisher that stamps heads with the given clock.
func NewPublisher(store platform.Store, now func() time.Time) *Publisher {
	return &Publisher{store: store, now: now}
}
