package result

import "sort"

// General codes.
const (
	OK       Code = 0
	Internal Code = 1
)

// Settings codes.
const (
	SettingsUnreadable    Code = 1001
	SettingsUnknownKey    Code = 1002
	SettingsBadValue      Code = 1003
	SettingsMissing       Code = 1004
	SettingsContradictory Code = 1005
)

// Tunnel and flow codes.
const (
	TunnelMalformed     Code = 2001
	TunnelForged        Code = 2002
	TunnelHopLimit      Code = 2003
	TunnelOversized     Code = 2004
	FlowUnknownService  Code = 2101
	FlowWrongService    Code = 2102
	FlowTableFull       Code = 2103
	FlowHalfOpenFull    Code = 2104
	FlowHoldQueueFull   Code = 2105
	FlowUnknown         Code = 2106
	FlowOwnerLost       Code = 2107
	FlowSilent          Code = 2108
	FlowServiceClosing  Code = 2109
	FlowUpstreamRefused Code = 2110
	FlowLeaseExpired    Code = 2111
	FlowCallerReset     Code = 2112
	FlowUpstreamReset   Code = 2113
)

// Request codes. Codes from 3001 to 3099 are refusals: the request was not run.
const (
	RequestQueueFull         Code = 3001
	RequestDeadlineTooShort  Code = 3002
	RequestDeadlinePassed    Code = 3003
	RequestDraining          Code = 3004
	RequestShed              Code = 3005
	RequestCancelled         Code = 3006
	RequestBindingUnreached  Code = 3007
	RequestUpstreamRefused   Code = 3008
	RequestRetryBudgetSpent  Code = 3009
	RequestKeyMissing        Code = 3010
	RequestMalformed         Code = 3011
	RequestNoUpstream        Code = 3012
	RequestTooLarge          Code = 3013
	RequestBindingsFull      Code = 3014
	RequestKeyMismatch       Code = 3101
	RequestKeyUnchecked      Code = 3102
	RequestOutcomeUnknown    Code = 3201
	RequestAnswerNotRetained Code = 3202
	RequestAnswerTruncated   Code = 3203
	AccountMismatch          Code = 3301
)

// Consensus and storage codes.
const (
	NotLeader         Code = 4001
	NoQuorum          Code = 4002
	ProposalLost      Code = 4003
	MemberChangeBusy  Code = 4004
	MemberNotCaughtUp Code = 4005
	MembersUnsettled  Code = 4006
	StoreCorrupt      Code = 4101
	StoreTorn         Code = 4102
	StoreIdentity     Code = 4103
	StoreWriteFailed  Code = 4104
	RevisionOld       Code = 4201
	RevisionDigest    Code = 4202
)

// Intent and membership codes.
const (
	IntentMalformed      Code = 5001
	IntentUnknown        Code = 5002
	IntentConflict       Code = 5003
	IntentKeyReused      Code = 5004
	IntentNotPlanned     Code = 5005
	IntentFinished       Code = 5006
	PlanOutdated         Code = 5101
	PlanNoCapacity       Code = 5102
	PlanLastUpstream     Code = 5103
	PlanLastQuorum       Code = 5104
	PlanUnknownService   Code = 5105
	PlanUnknownHost      Code = 5106
	PlanAddressInUse     Code = 5107
	DeclarationInvalid   Code = 5110
	DeclarationUnsettled Code = 5111
	AnnounceMalformed    Code = 5204
	AnnounceNotPermitted Code = 5201
	AnnounceStale        Code = 5202
	AnnounceAddressTaken Code = 5203
	PeerNotPermitted     Code = 5301
	ReportInvalid        Code = 5401
	ReportUnsigned       Code = 5402
)

// All returns every code in ascending order.
func All() []Code {
	all := make([]Code, 0, len(codes))
	for c := range codes {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
