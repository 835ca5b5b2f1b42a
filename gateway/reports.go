package gateway

import (
	"context"
	"time"

	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

const (
	// fullReportEvery is the number of intervals after which a report names the
	// whole load.
	fullReportEvery = 8
	// soonestReport is the part of the interval that passes between any two
	// reports.
	soonestReport = 5
	// reportPeers is the number of receivers up to which reports are made at their
	// interval; more make them rarer.
	reportPeers = 10
	// maxMessages bounds the reports to all receivers in a second.
	maxMessages = 200
)

// report tells the other routers this one's load until ctx ends.
func (p *peers) report(ctx context.Context) {
	lastFull := time.Time{}
	for ctx.Err() == nil {
		receivers := p.receivers(time.Now())
		interval := p.reportInterval(len(receivers.near))
		p.awaitReport(ctx, interval, len(receivers.near))
		full := p.joined.Swap(false) || time.Since(lastFull) >= fullReportEvery*interval
		if full {
			lastFull = time.Now()
		}
		sums := p.takeSums()
		if p.gateway.takeChanged() || full || len(sums) > 0 || p.gateway.draining.Load() {
			message := p.gateway.loadReport(p.routers(), full)
			message.Domains = sums
			broadcast(receivers.near, message)
		}
		if len(receivers.aggregators) > 0 {
			broadcast(receivers.aggregators, p.gateway.domainReport(receivers.members, full))
		}
	}
}

func broadcast(sessions []*peer.Session, message *peerpb.LoadReport) {
	for _, s := range sessions {
		s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: message}})
	}
}

// awaitReport waits until a report to some receivers is due, or the load has changed
// much.
func (p *peers) awaitReport(ctx context.Context, interval time.Duration, receivers int) {
	soonest := min(max(interval/soonestReport, time.Duration(receivers)*time.Second/maxMessages), interval)
	node.Pause(ctx, soonest)
	due := time.NewTimer(interval - soonest)
	defer due.Stop()
	select {
	case <-ctx.Done():
	case <-due.C:
	case <-p.gateway.urgent:
	}
}

func (p *peers) reportInterval(receivers int) time.Duration {
	interval := p.gateway.policy.Load().ReportInterval
	return max(interval, interval*time.Duration(receivers)/reportPeers)
}
