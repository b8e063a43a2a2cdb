package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// validator checks the values of a scenario and collects the errors.
type validator struct {
	file      string
	lines     map[string]int
	baseFile  string // file of the extended scenario
	baseLines map[string]int
	problems  []error
}

// fail adds an error at the line of a key in the file or in the extended file. If both omit the key, it uses the line
// of the enclosing table.
func (c *validator) fail(key, format string, args ...any) {
	problem := FileError{c.file, 0, fmt.Sprintf(format, args...)}
	for at := key; ; {
		if n, ok := c.lines[at]; ok {
			problem.Line = n
			break
		}
		if n, ok := c.baseLines[at]; ok {
			problem.File, problem.Line = c.baseFile, n
			break
		}
		cut := strings.LastIndexByte(at, '.')
		if cut < 0 {
			break
		}
		at = at[:cut]
	}
	c.problems = append(c.problems, problem)
}

// checkNumber checks that a value lies between low and high, inclusive. NaN fails.
func (c *validator) checkNumber(key string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.fail(key, "%s is %v, must be from %v to %v", key, value, low, high)
	}
}

// checkDuration checks that a duration lies between low and high, inclusive.
func (c *validator) checkDuration(key string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.fail(key, "%s is %v, must be from %v to %v", key, d.Std(), low, high)
	}
}

// maxDuration is the limit on durations without a narrower limit.
const maxDuration = 24 * time.Hour

// shareTolerance is the permitted difference between a sum of shares and 1.
const shareTolerance = 0.001

// checkShares checks that the shares of the owners, such as "classes", add up to 1.
func (c *validator) checkShares(key, owners string, sum float64) {
	if math.Abs(sum-1) > shareTolerance {
		c.fail(key, "the shares of the %s add up to %.3f, must add up to 1", owners, sum)
	}
}

// checkName checks that the name of an array entry is not empty.
func (c *validator) checkName(path, what string, index int, name string) {
	if name == "" {
		c.fail(path+"name", "%s %d has no name", what, index+1)
	}
}

// checkScenario checks all values of a scenario.
func (c *validator) checkScenario(s *Scenario) {
	if s.Name == "" {
		c.fail("name", "name is missing")
	}
	if s.About == "" {
		c.fail("about", "about is missing: one line that describes the scenario")
	}
	c.checkDuration("length", s.Length, time.Second, time.Hour)
	c.checkDuration("warmup", s.Warmup, 0, s.Length.Std()/2)
	c.checkFleet(&s.Fleet)
	c.checkLoad(&s.Load)
	c.checkClients(&s.Clients)
	c.checkNetwork(&s.Network, &s.DiscoveryDelay)
	c.checkClasses(s.Classes)
	c.checkTenants(s.Tenants)
	for i := range s.Faults {
		c.checkFault(s, &s.Faults[i], fmt.Sprintf("trouble[%d].", i))
	}
	c.checkExpect(&s.Expect)
}

func (c *validator) checkLoad(load *Load) {
	if (load.Rate > 0) == (load.Utilization > 0) {
		c.fail("load", "load needs either rate (requests a second) or use (share of the fleet's capacity)")
	}
	c.checkNumber("load.rate", load.Rate, 0, 1e6)
	c.checkNumber("load.use", load.Utilization, 0, 20)
	c.checkNumber("load.swing", load.Swing, 0, 0.95)
	c.checkDuration("load.wave", load.SwingPeriod, time.Second, maxDuration)
	c.checkNumber("load.skew", load.Skew, 0, 3)
	c.checkNumber("load.keys", float64(load.Keys), 1, 1e7)
	c.checkNumber("load.zipf", load.Zipf, 0, 3)
}

func (c *validator) checkClients(clients *Clients) {
	c.checkNumber("clients.retries", clients.Retries, 0, 10)
	c.checkDuration("clients.backoff", clients.Backoff, 0, maxDuration)
	c.checkNumber("clients.growth", clients.BackoffGrowth, 1, 10)
	c.checkNumber("clients.honour", clients.HonourShare, 0, 1)
	c.checkDuration("clients.most_after", clients.MaxRetryAfter, 0, maxDuration)
	c.checkNumber("clients.impatient", clients.ImpatientShare, 0, 1)
	c.checkNumber("clients.try_share", clients.TimeoutShare, 0.05, 1)
}

func (c *validator) checkNetwork(network *Network, delay *DiscoveryDelay) {
	c.checkDuration("network.same", network.SameZone, 0, time.Second)
	c.checkDuration("network.cross", network.CrossZone, 0, time.Second)
	c.checkNumber("network.jitter", network.Jitter, 0, 1)
	c.checkDuration("network.connect", network.ConnectTimeout, time.Millisecond, time.Minute)
	c.checkDuration("notice.from", delay.From, 0, time.Minute)
	c.checkDuration("notice.to", delay.To, delay.From.Std(), time.Minute)
}

func (c *validator) checkTenants(tenants []Tenant) {
	if len(tenants) == 0 {
		return
	}
	sum := 0.0
	for i, tenant := range tenants {
		path := fmt.Sprintf("tenant[%d].", i)
		c.checkName(path, "tenant", i, tenant.Name)
		c.checkNumber(path+"share", tenant.Share, 0, 1)
		c.checkNumber(path+"allowance", tenant.Allowance, 0, 1e6)
		sum += tenant.Share
	}
	c.checkShares("tenant", "tenants", sum)
}

func (c *validator) checkExpect(expect *Expect) {
	c.checkNumber("expect.in_time", expect.InTime, 0, 1)
	c.checkNumber("expect.worst_10s", expect.Worst10s, 0, 1)
	c.checkNumber("expect.failed", expect.Failed, 0, 1)
	c.checkNumber("expect.useful", expect.Useful, 0, 1)
	c.checkNumber("expect.attempts", expect.Attempts, 0, 100)
	c.checkDuration("expect.recover", expect.Recover, 0, maxDuration)
}

func (c *validator) checkClasses(classes []Class) {
	if len(classes) == 0 {
		c.fail("class", "the scenario has no [[class]]")
		return
	}
	sum := 0.0
	for i := range classes {
		c.checkClass(&classes[i], i)
		sum += classes[i].Share
	}
	c.checkShares("class", "classes", sum)
}

func (c *validator) checkClass(class *Class, index int) {
	path := fmt.Sprintf("class[%d].", index)
	c.checkName(path, "class", index, class.Name)
	c.checkNumber(path+"share", class.Share, 0, 1)
	c.checkDuration(path+"work", class.Work, time.Microsecond, time.Minute)
	c.checkNumber(path+"cv", class.CV, 0, 10)
	c.checkDuration(path+"aim", class.LatencyObjective, time.Millisecond, time.Hour)
	c.checkDuration(path+"deadline", class.Deadline, class.LatencyObjective.Std(), time.Hour)
	c.checkNumber(path+"worth", class.Priority, 0, 1e6)
	if !slices.Contains([]string{"idempotent", "deduplicated", "at_most_once"}, class.Effect) {
		c.fail(path+"effect", "%seffect is %q, must be idempotent, deduplicated or at_most_once", path, class.Effect)
	}
	if class.Effect == "deduplicated" {
		if !slices.Contains([]string{"all", "zone", "cell"}, class.Scope) {
			c.fail(path+"scope", "%sscope is %q, must be all, zone or cell", path, class.Scope)
		}
		c.checkDuration(path+"window", class.DedupeWindow, time.Second, maxDuration)
	} else if class.Scope != "" || class.DedupeWindow != 0 {
		c.fail(path+"scope", "scope and window require effect = \"deduplicated\"")
	}
}
