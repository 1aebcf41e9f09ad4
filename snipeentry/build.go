package snipeentry

import (
	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipeconn"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeowner"
)

// build creates the components of the instance.
func (i *Instance) build() {
	s := i.Settings
	i.meter = snipemeter.New()
	i.startupGate = newStartupGate()
	i.catalog = &snipecatalog.Cache{}
	i.directory = &snipedirectory.Cache{OnEvent: i.upstreamChanged, LapseGrace: registryRecoveryTime}
	i.buildSignals()
	i.balancer = &snipebalance.Balancer{Domain: s.Domain, Suspect: i.logSuspect, Open: i.upstreamOpen, IgnorePace: s.IgnorePace}
	i.board = &snipebalance.Board{}
	i.residency = &snipeadapter.Residency{}
	i.buildReach()
	i.buildHops()
	i.links = &snipelink.Pool{
		Dial: i.recordDials(i.upstreamDialer(s.socketBuffer())), DialTimeout: dialTimeout, IdleTimeout: idleConnectionTime, MaxIdle: maxIdleConnections,
		Identifier: i.Platform.Identifier, KeepAlive: i.Platform.KeepAlive,
	}
	i.buildRelay()
	i.holder = &snipeowner.Holder{
		Table:   snipeowner.Table{List: i.ownershipRows, Write: i.relay.Write},
		Self:    snipeowner.Instance{Name: s.Name, Incarnation: i.Incarnation, Peer: s.Peers, Domain: s.Domain, Power: s.Power},
		Engines: i.ownedAddresses, OrderGap: s.OrderGap.Value(), DivisionSpan: s.RetrySpan.Value(), Clock: bootClock,
		Operation: i.Operation, RenewalEnded: i.noteRenewal, Detached: i.detached, Ended: i.ended.has, Log: i.Log,
	}
	i.buildSoftware()
	i.buildStoredStreams()
	i.buildTables()
	i.holder.RequestExtension, i.holder.RowsAge = i.requestExtension, i.tables.ownership.Mirror.Age
	i.registerGauges()
	i.buildController()
	i.peers = newPeers(peerTransport(i.meter))
	i.buildQuotas()
	i.buildCrashes()
	i.callers = &snipeconn.Tracker{Closed: i.connectionClosed(callersName), HeadTime: headerTimeout}
	i.buildPressure()
	i.buildAdmission()
	i.retryBudgets = &retryBudgets{
		share: s.RetryShare, slack: s.RetrySlack, span: s.RetrySpan.Value(), Log: i.Log, Meter: i.meter,
		division: func() snipeowner.Division { return i.holder.View().Division }, clock: bootClock,
		sentBefore: i.stalls.sentBefore,
	}
	i.buildGateway()
}

// buildController creates what orders loads at the engines that this instance owns.
func (i *Instance) buildController() {
	i.controller = &snipeadapter.Controller{
		Engine: i.engineCalls(), Fence: i.holder.Fence, Holder: i.Settings.Name, Log: i.Log,
		Upstream: func(id string) *snipedirectory.Upstream { return i.directory.Snapshot().ByID(id) },
		Slots:    i.adapterSlots,
		Model:    i.modelFor, EngineRestarted: i.directory.MarkEnded, PreviouslyHeld: i.residency.PreviouslyHeld,
		Refused: i.countLoadRefusal,
		Newest: func(a snipecatalog.Adapter) int64 {
			version, _ := i.catalog.Newest(a)
			return version
		},
	}
	i.controller.Redundant = func(u *snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) bool {
		return i.gateway.Chooser.CanEvict(u, a, perSecond)
	}
}

// buildGateway creates what serves requests.
func (i *Instance) buildGateway() {
	s := i.Settings
	i.gateway = &snipegateway.Gateway{
		Catalog: i.catalog, Balancer: i.balancer, Links: i.links, Signals: i.signals, Brittle: i.brittle, Protocol: i.Platform.Protocol,
		Quotas: i.gatewayQuotas(), Admission: i.gatewayAdmission(), Crashes: i.gatewayCrashes(), Software: i.gatewaySoftware(), Outdated: i.catalogOutdated, WaitForStart: i.startupGate.wait,
		Hops:   snipegateway.Hops{Unreachable: i.reach.Unreachable, Peers: i.hopPeers, Links: i.hopLinks, Self: s.Name, Reached: i.detachment.noteReached},
		Budget: i.retryBudgets.budget, Log: i.Log, Meter: i.meter,
		Pressure: i.pressure, SocketBytes: s.socketBytes(),
		Chooser: &snipegateway.Chooser{
			Directory: i.directory, Balancer: i.balancer, Residency: i.residency, Signals: i.signals, Versions: i.catalog,
			Ensure: i.ensure, Owned: i.ownerReachable,
		},
	}
}
