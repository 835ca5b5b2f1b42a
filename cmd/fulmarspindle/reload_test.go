package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
)

func TestRestartNeeded(t *testing.T) {
	g := NewWithT(t)
	var initial config.GatewaySettings
	next := initial
	next.Log.Level = "debug"
	next.Retry.Slack = 9
	next.Admission.MaxWait = 0.5
	next.Outlier.ConsecutiveBroken = 7
	next.Peers = []string{"10.0.0.1:7000"}
	next.ReportInterval = config.Duration(time.Second)
	g.Expect(restartNeeded(initial, next)).To(BeFalse())
	next.Listen.Caller = "10.0.0.1:80"
	g.Expect(restartNeeded(initial, next)).To(BeTrue())
}
