package sidecar

import (
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// SessionUp implements peer.Handler.
func (s *Sidecar) SessionUp(session *peer.Session) {
	if !s.sessions.Add(session) {
		return
	}
	s.log.Info("session opened", zap.String("peer", string(session.ID())))
	if session.Role() != peerpb.Role_ROLE_ROUTER {
		return
	}
	s.scheduler.step(dispatch.RouterUp{
		Router:      session.ID(),
		Incarnation: session.Incarnation(),
		Location:    session.Location(),
	})
	session.Send(s.scheduler.loadMessage())
}

// SessionDown implements peer.Handler.
func (s *Sidecar) SessionDown(session *peer.Session, _ error) {
	if !s.sessions.Remove(session) {
		return
	}
	s.configAdopter.HandlePeerLost(session.ID())
	s.scheduler.routerDown(session.ID())
}

// Message implements peer.Handler.
func (s *Sidecar) Message(session *peer.Session, env *peerpb.Envelope) {
	s.configAdopter.ObserveGeneration(session, env.GetGeneration())
	switch b := env.Body.(type) {
	case *peerpb.Envelope_Demand:
		for _, d := range b.Demand.GetDemands() {
			s.scheduler.receiveDemand(session.ID(), d)
		}
	case *peerpb.Envelope_Decline:
		s.scheduler.receiveDecline(session.ID(), b.Decline)
	case *peerpb.Envelope_Heartbeat:
		s.scheduler.step(dispatch.RoundTrip{Router: session.ID(), RTT: session.RTT()})
	case *peerpb.Envelope_AccountTotals:
		s.scheduler.applyTotals(node.AccountTotalsFromProto(b.AccountTotals))
	case *peerpb.Envelope_AccountUpdate:
		s.scheduler.applyUpdate(node.AccountUpdateFromProto(b.AccountUpdate))
	case *peerpb.Envelope_ConfigRequest:
		s.configAdopter.HandleRequest(session, b.ConfigRequest)
	case *peerpb.Envelope_ConfigSnapshot:
		s.configAdopter.HandleSnapshot(session, b.ConfigSnapshot)
	}
}
