package router

import (
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// SessionUp implements peer.Handler.
func (r *Router) SessionUp(s *peer.Session) {
	if !r.sessions.Add(s) {
		return
	}
	r.log.Info("session opened", zap.String("peer", string(s.ID())), zap.Stringer("role", s.Role()))
	if s.Role() == peerpb.Role_ROLE_SIDECAR {
		r.membership.sidecarConnected(s)
		return
	}
	r.suspects.SendAll(s)
	r.keepers.routerConnected(s.Location().Region)
}

// SessionDown implements peer.Handler.
func (r *Router) SessionDown(s *peer.Session, _ error) {
	if !r.sessions.Remove(s) {
		return
	}
	r.configAdopter.HandlePeerLost(s.ID())
	if s.Role() == peerpb.Role_ROLE_SIDECAR {
		r.membership.sidecarDisconnected(s.ID())
	}
}

// Message implements peer.Handler.
func (r *Router) Message(s *peer.Session, env *peerpb.Envelope) {
	r.configAdopter.ObserveGeneration(s, env.GetGeneration())
	switch b := env.Body.(type) {
	case *peerpb.Envelope_Grant:
		r.receiveGrant(s, b.Grant)
	case *peerpb.Envelope_Load:
		r.membership.updateLoad(s.ID(), b.Load)
	case *peerpb.Envelope_Heartbeat:
		r.membership.updateDraining(s.ID(), b.Heartbeat.GetDraining())
	case *peerpb.Envelope_AccountReport:
		r.receiveAccountReport(s, b.AccountReport)
	case *peerpb.Envelope_RegionSums:
		r.keepers.mergeRegionSums(b.RegionSums)
	case *peerpb.Envelope_VmList:
		r.vmList.receive(s, b.VmList)
	case *peerpb.Envelope_ConfigRequest:
		r.configAdopter.HandleRequest(s, b.ConfigRequest)
	case *peerpb.Envelope_ConfigSnapshot:
		r.configAdopter.HandleSnapshot(s, b.ConfigSnapshot)
	case *peerpb.Envelope_Suspects:
		r.suspects.receive(s.ID(), node.SuspectsFromProto(b.Suspects))
	}
}

func (r *Router) receiveGrant(s *peer.Session, g *peerpb.Grant) {
	// Subtracts the estimated transit time of the grant, half a round trip.
	remaining := time.Duration(g.GetExpiresInMs())*time.Millisecond - s.RTT()/2
	r.queue.step(dispatch.GrantReceived{
		Sidecar: s.ID(),
		GrantID: g.GetId(),
		Team:    fleet.TeamID(g.GetTeam()),
		Expires: time.Now().Add(remaining),
	})
}

func (r *Router) receiveAccountReport(s *peer.Session, m *peerpb.AccountReport) {
	service, ok := r.membership.serviceOf(s.ID())
	if ok {
		r.keepers.applyReport(s, service, m)
	}
}

// Stream implements peer.Handler. Other routers open streams to query the
// responses of claims that this router holds.
func (r *Router) Stream(_ *peer.Session, st *peer.Stream) {
	defer st.Close()
	if err := st.SetDeadline(time.Now().Add(answerQueryTimeout)); err != nil {
		return
	}
	open, err := st.ReceiveOpen()
	if err != nil {
		return
	}
	if q := open.GetAnswerQuery(); q != nil {
		r.answerQuery(r.ctx, st, q)
	}
}

// answerQueryTimeout limits how long another router may wait for a response.
const answerQueryTimeout = 15 * time.Minute
