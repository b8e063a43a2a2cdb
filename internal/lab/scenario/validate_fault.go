package scenario

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	minFaultShare  = 0.0001
	maxFaultFactor = 1000.0
)

// checkFault checks the fault at a path of the file, such as "trouble[0].".
func (c *validator) checkFault(s *Scenario, fault *Fault, path string) {
	fields, known := faultKinds[fault.Kind]
	if !known {
		names := strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", ")
		c.fail(path+"kind", "unknown trouble %q, known are %s", fault.Kind, names)
		return
	}
	c.checkDuration(path+"at", fault.At, 0, s.Length.Std())
	if fields.length {
		c.checkDuration(path+"for", fault.Length, time.Millisecond, maxDuration)
	}
	c.checkFaultFields(fault, fields, path)
	if fields.share {
		c.checkNumber(path+"part", fault.Share, minFaultShare, 1)
	}
	if fields.size {
		c.checkNumber(path+"size", fault.Size, minFaultShare, maxSize(fault.Kind))
	}
	if fields.class && !slices.ContainsFunc(s.Classes, func(class Class) bool { return class.Name == fault.Class }) {
		c.fail(path+"class", "trouble %q names class %q, which the scenario does not have", fault.Kind, fault.Class)
	}
	if (fields.zone || fault.Zone != "") && !slices.Contains(s.Fleet.Zones, fault.Zone) {
		c.fail(path+"zone", "trouble %q names zone %q, which the fleet does not have", fault.Kind, fault.Zone)
	}
	if fields.drain {
		c.checkDuration(path+"drain", fault.Drain, 0, fault.Length.Std())
	}
}

// checkFaultFields checks that a fault sets no field that its kind does not have.
func (c *validator) checkFaultFields(fault *Fault, fields faultFields, path string) {
	for _, field := range []struct {
		key              string
		allowed, present bool
	}{
		{"part", fields.share, fault.Share != 0},
		{"size", fields.size, fault.Size != 0},
		{"class", fields.class, fault.Class != ""},
		{"drain", fields.drain, fault.Drain != 0},
		{"for", fields.length, fault.Length != 0},
	} {
		if field.present && !field.allowed {
			c.fail(path+field.key, "trouble %q has no key %s", fault.Kind, field.key)
		}
	}
}

// maxSize returns the maximum size of a kind of fault.
func maxSize(kind string) float64 {
	if slices.Contains(sizedByShare, kind) {
		return 1
	}
	return maxFaultFactor
}
