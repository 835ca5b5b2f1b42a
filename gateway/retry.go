package gateway

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/retry"
)

// needsRetryBudget reports whether the next attempt is one that the budget bounds: an
// upstream got the request before, and no retry was taken for one that did not
// reach any.
func (j *job) needsRetryBudget() bool { return j.reached > j.retries }

// retryAllowed reports whether the budget that all routers share has a retry left.
func (g *Gateway) retryAllowed(j *job, last result) bool {
	routers := g.peers.budgetRouters()
	usage, left := j.service.retryUsage(time.Now(), routers)
	if !left {
		g.logRetry(j, last, "retry over budget", usage, routers)
	}
	return left
}

// takeRetry spends a retry of the budget that all routers share.
func (g *Gateway) takeRetry(j *job, last result) bool {
	routers := g.peers.budgetRouters()
	taken, usage := j.service.takeRetry(routers)
	message := "retry over budget"
	if taken {
		j.retries++
		message = "retry"
	}
	g.logRetry(j, last, message, usage, routers)
	return taken
}

func (g *Gateway) logRetry(j *job, last result, message string, usage retry.Usage, routers int) {
	retryCounts.Add(fmt.Sprintf("%s/%s", j.service.id, strings.ReplaceAll(message, " ", "_")), 1)
	g.log.Info(message, zap.String("request", j.in.ID), zap.String("service", string(j.service.id)), zap.Stringer("after", last.kind),
		zap.Float64("spent", usage.Spent), zap.Float64("allowed", usage.Allowed), zap.Int("routers", routers))
}
