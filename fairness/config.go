package fairness

import "time"

// Defaults of the configurations. The TTLs are ordered: a keeper must forget a
// reporter's counter before the ledger forgets the team and starts counting
// from zero, and a ledger must forget its echo before the keeper forgets the
// team.
const (
	DefaultRefreshInterval = time.Second
	DefaultBurstWindow     = 300 * time.Millisecond
	DefaultDebtWindow      = 30 * time.Second
	DefaultActivityTTL     = 3 * time.Second
	DefaultReporterTTL     = 2 * time.Minute
	DefaultRetention       = 5 * time.Minute
	DefaultTeamTTL         = 10 * time.Minute
	DefaultCreditWindow    = 30 * time.Second
	// DefaultEstimate is the cost charged before any cost is known, in the
	// service's cost units.
	DefaultEstimate = 1.0
)

// LedgerConfig configures a Ledger. Zero fields take the defaults.
type LedgerConfig struct {
	// Slots is how many requests the upstream runs at once.
	Slots int
	// BurstWindow is how long a team that came from idleness to a sidecar
	// without other waiting teams is not charged for what it starts there.
	BurstWindow time.Duration
	// Estimate is the cost charged at Begin while no cost of the service is
	// known, in the service's cost units.
	Estimate float64
	// RefreshInterval is the time after which an active or unconfirmed team is
	// reported again.
	RefreshInterval time.Duration
	// ActivityTTL is the time without waiting requests after which a team
	// counts as idle.
	ActivityTTL time.Duration
	// Retention is the time after which an idle team is forgotten. It must be
	// longer than the keepers' ReporterTTL and shorter than their TeamTTL.
	Retention time.Duration
}

func (c LedgerConfig) withDefaults() LedgerConfig {
	if !validCost(c.Estimate) || c.Estimate == 0 {
		c.Estimate = DefaultEstimate
	}
	c.RefreshInterval = orDefault(c.RefreshInterval, DefaultRefreshInterval)
	c.BurstWindow = orDefault(c.BurstWindow, DefaultBurstWindow)
	c.ActivityTTL = orDefault(c.ActivityTTL, DefaultActivityTTL)
	c.Retention = orDefault(c.Retention, DefaultRetention)
	return c
}

// KeeperConfig configures a Keeper. Zero fields take the defaults.
type KeeperConfig struct {
	// AnswerInterval is the least time between two answers about a team to one
	// reporter; 0 answers every report. It needs calls of Updates.
	AnswerInterval time.Duration
	// DebtWindow bounds how long a waiting team makes up for what it received
	// ahead of the others: one to two windows.
	DebtWindow time.Duration
	// RefreshInterval is the time after which the other regions are sent an
	// unchanged sum of an active team again.
	RefreshInterval time.Duration
	// ActivityTTL is the time without an active flag from any reporter or
	// region after which a team counts as idle. It must be at least twice the
	// reporters' refresh interval and the interval between region sums.
	ActivityTTL time.Duration
	// ReporterTTL is the time after which the counters of a silent reporter
	// are forgotten. Their charges stay in the total.
	ReporterTTL time.Duration
	// TeamTTL is the time after which an idle team is forgotten.
	TeamTTL time.Duration
	// CreditWindow bounds the credit of a team whose requests seldom wait: with
	// waiting requests its account is at least the fleet's virtual time of one
	// to two windows ago.
	CreditWindow time.Duration
}

func (c KeeperConfig) withDefaults() KeeperConfig {
	c.RefreshInterval = orDefault(c.RefreshInterval, DefaultRefreshInterval)
	c.DebtWindow = orDefault(c.DebtWindow, DefaultDebtWindow)
	c.ActivityTTL = orDefault(c.ActivityTTL, DefaultActivityTTL)
	c.ReporterTTL = orDefault(c.ReporterTTL, DefaultReporterTTL)
	c.TeamTTL = orDefault(c.TeamTTL, DefaultTeamTTL)
	c.CreditWindow = orDefault(c.CreditWindow, DefaultCreditWindow)
	return c
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}
