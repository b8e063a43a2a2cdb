package mesh

import "time"

// Conditions are what a directed pair does at a moment.
type Conditions struct {
	Cut       bool          // nothing passes, and connections do not come up
	Drop      float64       // share of datagrams, from 0 to 1
	Duplicate float64       // share of datagrams, from 0 to 1
	Delay     time.Duration // of datagrams, the most, drawn evenly; of connections, half of it at each write
	Rate      float64       // bytes a second; 0 is unlimited
}

// transmissionTime returns how long bytes take at the pair's rate.
func (c *Conditions) transmissionTime(bytes int) time.Duration {
	if c.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / c.Rate * float64(time.Second))
}
