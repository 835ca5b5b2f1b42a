package fairness

import "time"

// Defaults for LedgerConfig and KeeperConfig. The expiry times are ordered
// (ReporterTTL < Retention < TeamTTL): a keeper must drop a reporter's counter
// before the ledger drops the team and restarts its charges at zero, and a ledger
// must drop its echo before the keeper drops the team.
const (
	DefaultRefreshInterval = time.Second
	DefaultBurstWindow     = 300 * time.Millisecond
	DefaultDebtWindow      = 30 * time.Second
	DefaultActivityTTL     = 3 * time.Second
	DefaultReporterTTL     = 2 * time.Minute
	DefaultRetention       = 5 * time.Minute
	DefaultTeamTTL         = 10 * time.Minute
	DefaultCreditWindow    = 30 * time.Second
	// DefaultEstimate is the cost charged before any actual cost has been
	// observed, in the service's cost units.
	DefaultEstimate = 1.0
)

// LedgerConfig configures a Ledger. Zero fields take the defaults.
type LedgerConfig struct {
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// BurstWindow is how long a team that was idle is not charged for the
	// requests that it starts at a sidecar without other waiting teams.
	BurstWindow time.Duration
	// Estimate is the cost charged at Begin until an actual cost of the service
	// has been observed, in the service's cost units.
	Estimate float64
	// RefreshInterval is the time after which an unchanged team that is active
	// or unconfirmed is reported again.
	RefreshInterval time.Duration
	// ActivityTTL is the time without waiting requests after which a team is
	// considered idle.
	ActivityTTL time.Duration
	// Retention is the time after which an idle team is removed. It must be
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
	// AnswerInterval is the minimum time between two answers about a team to one
	// reporter; 0 answers every report. With a nonzero interval, the caller must
	// deliver the results of Updates as well.
	AnswerInterval time.Duration
	// DebtWindow bounds the debt of a team that received more service than the
	// others: it waits for one to two windows at most.
	DebtWindow time.Duration
	// RefreshInterval is the time after which an unchanged sum of an active team
	// is sent to the other regions again.
	RefreshInterval time.Duration
	// ActivityTTL is the time without an active flag from any reporter or
	// region after which a team is considered idle. It must be at least twice the
	// reporters' refresh interval and the interval between region sums.
	ActivityTTL time.Duration
	// ReporterTTL is the time without reports after which the counters of a
	// reporter are removed. Their charges stay in the total.
	ReporterTTL time.Duration
	// TeamTTL is the time after which an idle team is removed.
	TeamTTL time.Duration
	// CreditWindow bounds the credit of a team whose requests seldom wait: while
	// it has waiting requests, its account is at least the fleet's virtual time
	// of one to two windows ago.
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
