package snipelog

import "github.com/sirupsen/logrus"

// Events of the lifecycle of the daemon, 100 to 199.
var (
	Started        = define(100, "Started", logrus.InfoLevel)
	Ready          = define(101, "Ready", logrus.InfoLevel)
	Stopping       = define(102, "Stopping", logrus.InfoLevel)
	Stopped        = define(103, "Stopped", logrus.InfoLevel)
	StopForced     = define(104, "StopForced", logrus.WarnLevel)
	ListenerFailed = define(105, "ListenerFailed", logrus.ErrorLevel)

	CertificateInForce = define(106, "CertificateInForce", logrus.InfoLevel)
	CertificateRefused = define(107, "CertificateRefused", logrus.ErrorLevel)
	HandoverFailed     = define(108, "HandoverFailed", logrus.WarnLevel)
	ConnectionFailed   = define(109, "ConnectionFailed", logrus.DebugLevel)
	SettingsReloaded   = define(110, "SettingsReloaded", logrus.InfoLevel)
	SettingsRefused    = define(111, "SettingsRefused", logrus.ErrorLevel)
	ListenerDrained    = define(112, "ListenerDrained", logrus.InfoLevel)
)

// Events of calls, 200 to 299.
var (
	CallFailed   = define(200, "CallFailed", logrus.InfoLevel)
	CallRetried  = define(201, "CallRetried", logrus.InfoLevel)
	AnswerWrong  = define(202, "AnswerWrong", logrus.ErrorLevel)
	CallResumed  = define(203, "CallResumed", logrus.InfoLevel)
	CallCanceled = define(204, "CallCanceled", logrus.DebugLevel)
	HopResumed   = define(205, "HopResumed", logrus.InfoLevel)
)

// Events of settings, 300 to 399.
var (
	SettingsInForce     = define(300, "SettingsInForce", logrus.InfoLevel)
	SettingsReadFailed  = define(301, "SettingsReadFailed", logrus.WarnLevel)
	SettingsBranchWrong = define(302, "SettingsBranchWrong", logrus.ErrorLevel)
	SettingsAccepted    = define(303, "SettingsAccepted", logrus.InfoLevel)
)

// Events of leases and ownership, 400 to 499.
var (
	LeaseRenewFailed = define(400, "LeaseRenewFailed", logrus.WarnLevel)
	LeaseLapsed      = define(401, "LeaseLapsed", logrus.ErrorLevel)
	EngineTaken      = define(402, "EngineTaken", logrus.InfoLevel)
	EngineGivenUp    = define(403, "EngineGivenUp", logrus.InfoLevel)
	OwnersReadFailed = define(404, "OwnersReadFailed", logrus.WarnLevel)
	LeaseOutlived    = define(405, "LeaseOutlived", logrus.WarnLevel)
	NameTaken        = define(406, "NameTaken", logrus.ErrorLevel)
	EngineLost       = define(407, "EngineLost", logrus.WarnLevel)
)

// Events of membership, 450 to 469.
var (
	MemberAlive     = define(450, "MemberAlive", logrus.InfoLevel)
	MemberSuspect   = define(451, "MemberSuspect", logrus.InfoLevel)
	MemberDead      = define(452, "MemberDead", logrus.WarnLevel)
	MemberLeft      = define(453, "MemberLeft", logrus.InfoLevel)
	MemberRefuted   = define(454, "MemberRefuted", logrus.InfoLevel)
	SeedsReadFailed = define(455, "SeedsReadFailed", logrus.WarnLevel)
	DigestRefused   = define(456, "DigestRefused", logrus.ErrorLevel)
)

// Events of claims, 470 to 479.
var (
	ClaimTakenOver    = define(470, "ClaimTakenOver", logrus.InfoLevel)
	ClaimNotCompleted = define(471, "ClaimNotCompleted", logrus.WarnLevel)
	SweepFailed       = define(472, "SweepFailed", logrus.WarnLevel)
)

// Events of adapters and engines, 500 to 599.
var (
	AdapterLoaded   = define(500, "AdapterLoaded", logrus.InfoLevel)
	AdapterEvicted  = define(501, "AdapterEvicted", logrus.InfoLevel)
	LoadFailed      = define(502, "LoadFailed", logrus.WarnLevel)
	UpstreamDown    = define(503, "UpstreamDown", logrus.WarnLevel)
	UpstreamUp      = define(504, "UpstreamUp", logrus.InfoLevel)
	EngineRestarted = define(505, "EngineRestarted", logrus.WarnLevel)
	EngineAudited   = define(506, "EngineAudited", logrus.InfoLevel)
	EvictionFailed  = define(507, "EvictionFailed", logrus.WarnLevel)
)

// Events of limits, quarantine and health, 600 to 699.
var (
	CallQuarantined    = define(600, "CallQuarantined", logrus.WarnLevel)
	UpstreamBrokeOff   = define(601, "UpstreamBrokeOff", logrus.WarnLevel)
	CrashNotReplicated = define(602, "CrashNotReplicated", logrus.WarnLevel)
	RecordRefused      = define(603, "RecordRefused", logrus.WarnLevel)
)

// Events of requests that are forwarded to upstreams, 210 to 239.
var (
	RequestEnded     = define(210, "RequestEnded", logrus.InfoLevel)
	RequestRefused   = define(211, "RequestRefused", logrus.InfoLevel)
	RequestSentAgain = define(212, "RequestSentAgain", logrus.InfoLevel)
	RequestFailed    = define(213, "RequestFailed", logrus.WarnLevel)
	RequestAbandoned = define(214, "RequestAbandoned", logrus.InfoLevel)
	AnswerSkipped    = define(240, "AnswerSkipped", logrus.WarnLevel)
	AnswerDiscarded  = define(215, "AnswerDiscarded", logrus.WarnLevel)
	QuotaUnreached   = define(216, "QuotaUnreached", logrus.WarnLevel)
	QuotaReached     = define(217, "QuotaReached", logrus.InfoLevel)
	HeaderAppeared   = define(218, "HeaderAppeared", logrus.InfoLevel)

	PermitRefused      = define(219, "PermitRefused", logrus.InfoLevel)
	PermitExpired      = define(220, "PermitExpired", logrus.WarnLevel)
	CoordinatorChanged = define(221, "CoordinatorChanged", logrus.InfoLevel)
	CoordinatorLost    = define(222, "CoordinatorLost", logrus.WarnLevel)
	PacingBegun        = define(223, "PacingBegun", logrus.WarnLevel)
	PacingEnded        = define(224, "PacingEnded", logrus.InfoLevel)
	UpstreamPaused     = define(225, "UpstreamPaused", logrus.InfoLevel)
	LendingBegun       = define(227, "LendingBegun", logrus.InfoLevel)
	AnswerTooLarge     = define(228, "AnswerTooLarge", logrus.WarnLevel)
	MemoryHigh         = define(230, "MemoryHigh", logrus.WarnLevel)
	MemoryFree         = define(231, "MemoryFree", logrus.InfoLevel)
	RefusedForMemory   = define(232, "RefusedForMemory", logrus.InfoLevel)
	AnswerEnded        = define(233, "AnswerEnded", logrus.WarnLevel)
	ConnectionsFull    = define(234, "ConnectionsFull", logrus.WarnLevel)
	RequestBroke       = define(235, "RequestBroke", logrus.WarnLevel)
	RequestUnanswered  = define(241, "RequestUnanswered", logrus.WarnLevel)

	FingerprintWatched  = define(236, "FingerprintWatched", logrus.WarnLevel)
	FingerprintRefused  = define(237, "FingerprintRefused", logrus.WarnLevel)
	FingerprintReleased = define(238, "FingerprintReleased", logrus.InfoLevel)

	HopEnded          = define(226, "HopEnded", logrus.InfoLevel)
	RetrySlackChanged = define(239, "RetrySlackChanged", logrus.InfoLevel)
)

// Events of the catalog, which operators declare, and of the directory of upstreams, 310 to 339.
var (
	CatalogInForce   = define(310, "CatalogInForce", logrus.InfoLevel)
	CatalogStale     = define(311, "CatalogStale", logrus.WarnLevel)
	CatalogFresh     = define(312, "CatalogFresh", logrus.InfoLevel)
	CatalogWrong     = define(313, "CatalogWrong", logrus.ErrorLevel)
	VersionAnnounced = define(314, "VersionAnnounced", logrus.InfoLevel)
	UpstreamAppeared = define(320, "UpstreamAppeared", logrus.InfoLevel)
	UpstreamLeaving  = define(321, "UpstreamLeaving", logrus.InfoLevel)
	UpstreamGone     = define(322, "UpstreamGone", logrus.InfoLevel)
	DirectoryStale   = define(323, "DirectoryStale", logrus.WarnLevel)
	DirectoryFresh   = define(324, "DirectoryFresh", logrus.InfoLevel)
	UpstreamSuspect  = define(325, "UpstreamSuspect", logrus.WarnLevel)
	UpstreamTrusted  = define(326, "UpstreamTrusted", logrus.InfoLevel)
	DirectoryRead    = define(329, "DirectoryRead", logrus.InfoLevel)
	EntryWrong       = define(327, "EntryWrong", logrus.WarnLevel)
	EntryMended      = define(328, "EntryMended", logrus.InfoLevel)
	ServiceUnreached = define(335, "ServiceUnreached", logrus.WarnLevel)
	ServiceReached   = define(336, "ServiceReached", logrus.InfoLevel)
	UpstreamLimited  = define(330, "UpstreamLimited", logrus.WarnLevel)
	UpstreamFree     = define(331, "UpstreamFree", logrus.InfoLevel)
	SignalWrong      = define(332, "SignalWrong", logrus.WarnLevel)
	UpstreamRests    = define(333, "UpstreamRests", logrus.WarnLevel)
	UpstreamCrashed  = define(334, "UpstreamCrashed", logrus.WarnLevel)
	// Services whose upstreams crash when they refuse too many requests.
	ServiceBrittle      = define(339, "ServiceBrittle", logrus.WarnLevel)
	ServiceBrittleEnded = define(319, "ServiceBrittleEnded", logrus.InfoLevel)
	BrittleRefusal      = define(318, "BrittleRefusal", logrus.WarnLevel)
	// Software versions of upstreams.
	SoftwareAnnounced    = define(337, "SoftwareAnnounced", logrus.InfoLevel)
	SoftwareNotAnnounced = define(338, "SoftwareNotAnnounced", logrus.WarnLevel)
)

// Events of the ownership of engines, which is the right to send them orders, 480 to 499.
var (
	OwnershipTaken    = define(480, "OwnershipTaken", logrus.InfoLevel)
	OwnershipLost     = define(481, "OwnershipLost", logrus.WarnLevel)
	OwnershipStale    = define(482, "OwnershipStale", logrus.WarnLevel)
	OwnershipFresh    = define(483, "OwnershipFresh", logrus.InfoLevel)
	OwnershipReleased = define(489, "OwnershipReleased", logrus.InfoLevel)
	OwnershipRowWrong = define(484, "OwnershipRowWrong", logrus.ErrorLevel)

	StoreUnreached     = define(487, "StoreUnreached", logrus.WarnLevel)
	StoreReached       = define(488, "StoreReached", logrus.InfoLevel)
	OwnershipProlonged = define(485, "OwnershipProlonged", logrus.InfoLevel)
	OwnershipRefused   = define(486, "OwnershipRefused", logrus.InfoLevel)
)

// Events of orders to engines, 510 to 529.
var (
	OrderGiven     = define(510, "OrderGiven", logrus.InfoLevel)
	OrderUnknown   = define(511, "OrderUnknown", logrus.WarnLevel)
	OrderRefused   = define(512, "OrderRefused", logrus.WarnLevel)
	EngineRead     = define(513, "EngineRead", logrus.InfoLevel)
	AdapterPresent = define(514, "AdapterPresent", logrus.InfoLevel)
	PeerUnreached  = define(515, "PeerUnreached", logrus.WarnLevel)
	PeerReached    = define(517, "PeerReached", logrus.InfoLevel)
	EngineUnread   = define(516, "EngineUnread", logrus.WarnLevel)

	LoadsUnknown       = define(519, "LoadsUnknown", logrus.WarnLevel)
	LoadsKnown         = define(520, "LoadsKnown", logrus.InfoLevel)
	LoadRefused        = define(521, "LoadRefused", logrus.InfoLevel)
	EngineStartedAgain = define(518, "EngineStartedAgain", logrus.WarnLevel)
)
