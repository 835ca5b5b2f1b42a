package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// observeLimit logs the limit that a response of the job's upstream names, when it changes.
func (g *Gateway) observeLimit(j *job, status int, header http.Header) {
	if g.options.Dialect.ClassifyResponse(status, header) == exchange.Invalid || status == http.StatusMisdirectedRequest {
		return
	}
	limit, err := g.options.Dialect.RequestLimit(header)
	fields := []zap.Field{zap.String("request", j.in.ID), zap.String("service", string(j.upstream.Service)),
		zap.String("upstream", string(j.upstream.ID)), zap.Bool("named", limit.Named), zap.Float64("rate", limit.Rate)}
	if err != nil {
		g.log.Warn("limit of an upstream not readable", append(fields, zap.Error(err))...)
		return
	}
	if j.service.recordLimit(j.upstream.ID, limit) {
		g.log.Info("limit of an upstream", fields...)
	}
}

// recordLimit records the limit that an upstream names and reports whether it has changed.
func (s *service) recordLimit(id fleet.UpstreamID, limit exchange.RequestLimit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits[id] == limit {
		return false
	}
	if limit.Named {
		s.limits[id] = limit
	} else {
		delete(s.limits, id)
	}
	return true
}
