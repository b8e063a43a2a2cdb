package report

// Second is one second of a run. Outcomes count at the second in which the client made the first request.
type Second struct {
	FirstRequests  float64 `json:"asked"`  // without clients' retries
	Priority       float64 `json:"worth"`  // priority-weighted work of the first requests
	EarnedPriority float64 `json:"earned"` // the part of it that was served in time
	InTime         float64 `json:"in_time"`
	Late           float64 `json:"late"`
	Rejected       float64 `json:"refused"`
	Failed         float64 `json:"failed"` // or the client left, or there was no response
	Requests       float64 `json:"tries"`  // with clients' retries, at the second of each
	Attempts       float64 `json:"attempts"`
	P50ms          float64 `json:"p50_ms"` // of the responses served in this second
	P99ms          float64 `json:"p99_ms"`
}

// addOutcomes adds the counts of another second. Quantiles are left out, as they have no sum.
func (s *Second) addOutcomes(other *Second) {
	s.FirstRequests += other.FirstRequests
	s.Priority += other.Priority
	s.EarnedPriority += other.EarnedPriority
	s.InTime += other.InTime
	s.Late += other.Late
	s.Rejected += other.Rejected
	s.Failed += other.Failed
	s.Requests += other.Requests
	s.Attempts += other.Attempts
}

// Node is what one node did.
type Node struct {
	ID           string  `json:"id"`
	Zone         int     `json:"zone"`
	Kind         string  `json:"kind"`
	Attempts     float64 `json:"attempts"`
	Rejected     float64 `json:"turned_away"`
	Deduplicated float64 `json:"repeats_dropped"`
	Work         float64 `json:"work_s"` // seconds on a standard core
	Utilization  float64 `json:"use"`    // share of its capacity while it was there
}

// Class is the latency of the served requests of one class.
type Class struct {
	Name   string  `json:"name"`
	Served uint64  `json:"served"`
	MeanMS float64 `json:"mean_ms"`
	P50ms  float64 `json:"p50_ms"`
	P90ms  float64 `json:"p90_ms"`
	P99ms  float64 `json:"p99_ms"`
	P999ms float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// LossDetection is how long sidecars took to detect that a node loses requests, from the first one lost there.
type LossDetection struct {
	Losses        int64   `json:"losses"` // pairs of a sidecar and a node that lost requests of it
	Undetected    int64   `json:"missed"` // of them, those not detected until the node stopped losing requests
	UndetectedFew int64   `json:"few"`    // of these, those with fewer than minDetectableLosses
	P50s          float64 `json:"p50_s"`
	P90s          float64 `json:"p90_s"`
	MaxS          float64 `json:"max_s"`
}

// Figures are the results of a run, counted from the end of the warm-up. Shares are of first requests, or of their
// priority where the name says so.
type Figures struct {
	FirstRequests      float64       `json:"asked"`
	InTimePriority     float64       `json:"in_time_worth"`
	InTime             float64       `json:"in_time"`
	Late               float64       `json:"late"`
	Rejected           float64       `json:"refused"`
	Failed             float64       `json:"failed"`
	RequestsPerFirst   float64       `json:"tries_per_request"`
	AttemptsPerRequest float64       `json:"attempts_per_try"`
	UsefulWork         float64       `json:"useful_work"`     // share of the nodes' work that was served in time
	Worst10s           float64       `json:"worst_10s_worth"` // the least share of priority in any ten seconds
	BeforeFaults       float64       `json:"before_worth"`    // share of priority before the first fault
	RecoverSeconds     float64       `json:"recover_s"`       // from the last fault's end; -1: not by the end
	Healed             bool          `json:"healed"`          // the run's last seconds are close to BeforeFaults
	MeanInFlight       float64       `json:"held_mean"`       // clients' requests without a response
	MeanStaySeconds    float64       `json:"stay_mean_s"`     // from a first request to the response that served it
	LossDetection      LossDetection `json:"known"`
	Classes            []Class       `json:"classes"`
	Nodes              []Node        `json:"nodes"`
	Seconds            []Second      `json:"seconds"`
}

// ratio is x/y, and 0 where y is.
func ratio(x, y float64) float64 {
	if y == 0 {
		return 0
	}
	return x / y
}
