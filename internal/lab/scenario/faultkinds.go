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
type faultFields struct{ part, size, class, zone, lasts, drain bool }

// faultKinds maps each kind of fault to its fields.
var faultKinds = map[string]faultFields{
	FaultSlow:            {part: true, size: true, lasts: true},
	FaultBurst:           {size: true, lasts: true},
	FaultFlood:           {part: true, size: true, lasts: true},
	FaultHotKey:          {size: true, lasts: true},
	FaultRelease:         {part: true, lasts: true, drain: true},
	FaultShrink:          {part: true, lasts: true, drain: true},
	FaultLoseClass:       {part: true, class: true, lasts: true},
	FaultRejectClass:     {part: true, class: true, lasts: true},
	FaultLoseShare:       {part: true, size: true, lasts: true},
	FaultErrors:          {part: true, size: true, lasts: true},
	FaultGarble:          {part: true, size: true, lasts: true},
	FaultCutRequests:     {part: true, size: true, lasts: true},
	FaultCutResponses:    {part: true, size: true, lasts: true},
	FaultIsolateNodes:    {part: true, lasts: true},
	FaultCrash:           {part: true, lasts: true},
	FaultPowerCut:        {lasts: true},
	FaultZoneCut:         {zone: true, lasts: true},
	FaultDiscoverySilent: {lasts: true},
	FaultDiscoveryCut:    {},
	FaultDiscoveryRewind: {},
	FaultDiscoveryMoves:  {},
	FaultSidecarsRestart: {part: true},
}

// sizedByShare lists the kinds of faults whose size is a share. The size of the other kinds is a factor.
var sizedByShare = []string{
	FaultHotKey, FaultLoseShare, FaultErrors, FaultGarble, FaultCutRequests, FaultCutResponses,
}
