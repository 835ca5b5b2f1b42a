package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// fakeAccounts implements Accounts with a fixed estimate for each request.
type fakeAccounts struct {
	charged  map[fleet.TeamID]float64
	reserved map[fleet.TeamID]int
	estimate float64
}

func newFakeAccounts() *fakeAccounts {
	return &fakeAccounts{charged: map[fleet.TeamID]float64{}, reserved: map[fleet.TeamID]int{}, estimate: 1}
}

func (a *fakeAccounts) Account(team fleet.TeamID) float64 {
	return a.charged[team] + float64(a.reserved[team])*a.estimate
}
func (a *fakeAccounts) Reserve(team fleet.TeamID) { a.reserved[team]++ }
func (a *fakeAccounts) Release(team fleet.TeamID) { a.reserved[team]-- }

// collect returns the actions of one type.
func collect[A any, T any](actions []T) []A {
	var found []A
	for _, a := range actions {
		if match, ok := any(a).(A); ok {
			found = append(found, match)
		}
	}
	return found
}
