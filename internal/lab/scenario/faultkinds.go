package scenario

// Values of the key kind of a [[trouble]] table.
const (
	FaultSlow            = "slow"             // nodes are slower by a factor
	FaultBurst           = "burst"            // the request rate is higher by a factor
	FaultFlood           = "flood"            // the request rate at some of the sidecars is higher by a factor
	FaultHotKey          = "hot_key"          // one key receives a share of the requests
	FaultRelease         = "release"          // nodes are drained and replaced one after the other
	FaultShrink          = "shrink"           // nodes are drained and removed one after the other
	FaultLoseClass       = "swallow"          // nodes never respond to requests of a class
	FaultRejectClass     = "turn_away"        // nodes reject requests of a class
	FaultLoseShare       = "stray"            // nodes never respond to a share of all requests
	FaultErrors          = "errors"           // nodes respond to a share of requests with errors
	FaultGarble          = "garble"           // nodes malform a share of their responses
	FaultCutRequests     = "cut_requests"     // a share of connections break after the request has been forwarded
	FaultCutResponses    = "cut_answers"      // a share of connections break in the middle of a response
	FaultIsolateNodes    = "vanish"           // machines become unreachable
	FaultCrash           = "crash"            // processes of nodes crash and restart
	FaultPowerCut        = "power_cut"        // all nodes crash, and the sidecars restart at the end
	FaultZoneCut         = "zone_cut"         // a zone is unreachable from the other zones
	FaultDiscoverySilent = "discovery_silent" // discovery sends nothing
	FaultDiscoveryCut    = "discovery_cut"    // every watch connection breaks in the middle of its next line
	FaultDiscoveryRewind = "discovery_back"   // discovery restarts its version numbers and sends the complete list
	FaultDiscoveryMoves  = "discovery_moves"  // discovery moves to a new address, which a configuration reload delivers
	FaultSidecarsRestart = "sidecars_restart" // sidecars are killed and started again
)

// faultFields states which fields a kind of fault has. checkFaultFields rejects the others.
type faultFields struct{ share, size, class, zone, length, drain bool }

// faultKinds maps each kind of fault to its fields.
var faultKinds = map[string]faultFields{
	FaultSlow:            {share: true, size: true, length: true},
	FaultBurst:           {size: true, length: true},
	FaultFlood:           {share: true, size: true, length: true},
	FaultHotKey:          {size: true, length: true},
	FaultRelease:         {share: true, length: true, drain: true},
	FaultShrink:          {share: true, length: true, drain: true},
	FaultLoseClass:       {share: true, class: true, length: true},
	FaultRejectClass:     {share: true, class: true, length: true},
	FaultLoseShare:       {share: true, size: true, length: true},
	FaultErrors:          {share: true, size: true, length: true},
	FaultGarble:          {share: true, size: true, length: true},
	FaultCutRequests:     {share: true, size: true, length: true},
	FaultCutResponses:    {share: true, size: true, length: true},
	FaultIsolateNodes:    {share: true, length: true},
	FaultCrash:           {share: true, length: true},
	FaultPowerCut:        {length: true},
	FaultZoneCut:         {zone: true, length: true},
	FaultDiscoverySilent: {length: true},
	FaultDiscoveryCut:    {},
	FaultDiscoveryRewind: {},
	FaultDiscoveryMoves:  {},
	FaultSidecarsRestart: {share: true},
}

// sizedByShare lists the kinds of faults whose size is a share. The size of the other kinds is a factor.
var sizedByShare = []string{
	FaultHotKey, FaultLoseShare, FaultErrors, FaultGarble, FaultCutRequests, FaultCutResponses,
}
