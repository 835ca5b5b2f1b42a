package gateway

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/retry"
)

// needsRetryBudget reports whether the next attempt has to be taken from the retry
// budget: more attempts have reached an upstream than retries were taken so far.
func (j *job) needsRetryBudget() bool { return j.reached > j.retries }

// retryAllowed reports whether the retry budget shared by all routers allows another
// retry.
func (g *Gateway) retryAllowed(j *job, last result) bool {
	routers := g.peers.budgetRouters()
	usage, left := j.service.retryUsage(time.Now(), routers)
	if !left {
		g.logRetry(j, last, "retry over budget", usage, routers)
	}
	return left
}

// takeRetry takes a retry from the budget shared by all routers.
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
