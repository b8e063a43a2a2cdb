package scenario

// The kinds of faults, as a scenario file names them.
const (
	FaultSlow            = "slow"             // nodes are slower by a factor
	FaultBurst           = "burst"            // demand is higher by a factor
	FaultFlood           = "flood"            // demand at some of the sidecars is higher by a factor
	FaultHotKey          = "hot_key"          // one key gets a share of the demand
	FaultRelease         = "release"          // nodes are replaced one after the other
	FaultShrink          = "shrink"           // nodes leave one after the other
	FaultLoseClass       = "swallow"          // nodes never answer requests of a class
	FaultRejectClass     = "turn_away"        // nodes reject requests of a class
	FaultLoseShare       = "stray"            // nodes never answer a share of all requests
	FaultErrors          = "errors"           // nodes answer a share of requests with errors
	FaultGarble          = "garble"           // nodes malform a share of their responses
	FaultCutRequests     = "cut_requests"     // a share of connections break once a request has passed
	FaultCutResponses    = "cut_answers"      // a share of connections break in the middle of a response
	FaultIsolateNodes    = "vanish"           // machines cannot be reached any more
	FaultCrash           = "crash"            // nodes' processes die and start again
	FaultPowerCut        = "power_cut"        // all nodes crash, and the sidecars restart at the end
	FaultZoneCut         = "zone_cut"         // a zone cannot be reached from the others
	FaultDiscoverySilent = "discovery_silent" // discovery sends nothing
	FaultDiscoveryCut    = "discovery_cut"    // the next line of every watch ends midway, with its connection
	FaultDiscoveryRewind = "discovery_back"   // discovery counts its versions anew and sends the whole list
	FaultDiscoveryMoves  = "discovery_moves"  // discovery moves to a new address, which a reload brings
	FaultSidecarsRestart = "sidecars_restart" // sidecars are killed and started again
)

// faultFields tells which fields a fault of a kind takes. What is not taken must be absent.
type faultFields struct{ part, size, class, zone, lasts, drain bool }

// faultKinds are the fields of each kind of fault.
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

// sizedByShare are the kinds of faults whose size is a share; the size of the others is a factor.
var sizedByShare = []string{
	FaultHotKey, FaultLoseShare, FaultErrors, FaultGarble, FaultCutRequests, FaultCutResponses,
}
