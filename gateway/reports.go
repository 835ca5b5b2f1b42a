package gateway

import (
	"context"
	"time"

	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

const (
	// fullReportIntervals is the number of report intervals between reports of the
	// complete load.
	fullReportIntervals = 8
	// minIntervalDivisor is the divisor of the report interval that gives the minimum
	// time between two reports.
	minIntervalDivisor = 5
	// baseIntervalReceivers is the number of receivers up to which reports are sent at
	// the configured interval; with more, the interval grows in proportion.
	baseIntervalReceivers = 10
	// maxReportsPerSecond limits the reports sent to all receivers per second.
	maxReportsPerSecond = 200
)

// sendReports sends this router's load to the other routers until ctx is canceled.
func (p *peers) sendReports(ctx context.Context) {
	lastFull := time.Time{}
	for ctx.Err() == nil {
		receivers := p.reportTargets(time.Now())
		interval := p.reportInterval(len(receivers.local))
		p.awaitReport(ctx, interval, len(receivers.local))
		full := p.fullReportDue.Swap(false) || time.Since(lastFull) >= fullReportIntervals*interval
		if full {
			lastFull = time.Now()
		}
		sums := p.takePendingSums()
		if p.gateway.takeLoadChanged() || full || len(sums) > 0 || p.gateway.draining.Load() {
			message := p.gateway.loadReport(p.routerAddresses(), full)
			message.Domains = sums
			broadcast(receivers.local, message)
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

// awaitReport waits until the next report is due, or earlier if the load has changed
// considerably.
func (p *peers) awaitReport(ctx context.Context, interval time.Duration, receivers int) {
	soonest := min(max(interval/minIntervalDivisor, time.Duration(receivers)*time.Second/maxReportsPerSecond), interval)
	node.Pause(ctx, soonest)
	due := time.NewTimer(interval - soonest)
	defer due.Stop()
	select {
	case <-ctx.Done():
	case <-due.C:
	case <-p.gateway.reportNow:
	}
}

func (p *peers) reportInterval(receivers int) time.Duration {
	interval := p.gateway.policy.Load().ReportInterval
	return max(interval, interval*time.Duration(receivers)/baseIntervalReceivers)
}
