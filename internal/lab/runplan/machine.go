package runplan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/servermodel"
)

// minSpeedFactor bounds from below what the spread of speeds makes of a kind's speed.
const minSpeedFactor = 0.3

// Machine is a node as it is planned.
type Machine struct {
	ID       string
	Zone     int // index in the scenario's zones
	Kind     string
	PodGroup int
	Weight   float64          // as registered with discovery
	Spec     servermodel.Spec // its start time is set when it starts
	StartsAt time.Duration    // 0: it is there from the start
}

// addInitialMachines adds the machines that are there from the start. Pods are made of machines of one zone.
func (p *Plan) addInitialMachines(random *rand.Rand) {
	fleet := &p.Scenario.Fleet
	zones := len(fleet.Zones)
	for i := range fleet.Nodes {
		p.addMachine(i%zones, p.Scenario.KindOf(i), 0, random)
	}
	inZone := make([]int, zones)
	for i := range p.Machines {
		zone := p.Machines[i].Zone
		p.Machines[i].PodGroup = inZone[zone]/fleet.PodSize*zones + zone + 1
		inZone[zone]++
	}
}

// addMachine adds a machine and returns its index.
func (p *Plan) addMachine(zone int, kind scenario.Kind, startsAt time.Duration, random *rand.Rand) int {
	// The speed is drawn before the ID: the order of draws is part of what a seed gives.
	speed := kind.Speed * math.Max(minSpeedFactor, 1+p.Scenario.Fleet.SpeedCV*random.NormFloat64())
	p.Machines = append(p.Machines, Machine{
		ID:       fmt.Sprintf("s-%04x%04x", random.IntN(1<<16), len(p.Machines)),
		Zone:     zone,
		Kind:     kind.Name,
		Weight:   float64(kind.Cores) * kind.Speed,
		StartsAt: startsAt,
		Spec:     serverSpec(&p.Scenario.Fleet, kind.Cores, speed),
	})
	return len(p.Machines) - 1
}

// serverSpec is what the server model needs to know of a machine.
func serverSpec(fleet *scenario.Fleet, cores int, speed float64) servermodel.Spec {
	return servermodel.Spec{
		Cores:            cores,
		Speed:            speed,
		Slots:            max(int(fleet.SlotsPerCore*float64(cores)), 1),
		QueueLimit:       int(fleet.QueuePerCore * float64(cores)),
		WarmUpShare:      fleet.SlowStartCapacity,
		WarmUp:           fleet.SlowStartWindow.Std(),
		ContentionAt:     fleet.ContentionAt,
		ContentionCost:   fleet.ContentionCost,
		CollapseAt:       fleet.CollapseAt,
		CollapseAfter:    fleet.CollapseAfter.Std(),
		CollapseSlowdown: fleet.CollapseSlowdown,
		RecoverBelow:     fleet.RecoverBelow,
		RecoverAfter:     fleet.RecoverAfter.Std(),
		MaxCollapse:      fleet.MaxCollapse.Std(),
	}
}

// addSuccessor adds a machine that replaces another, and returns its index.
func (p *Plan) addSuccessor(replaced int, startsAt time.Duration, random *rand.Rand) int {
	old := p.Machines[replaced]
	for _, kind := range p.Scenario.Fleet.Kinds {
		if kind.Name == old.Kind {
			index := p.addMachine(old.Zone, kind, startsAt, random)
			p.Machines[index].PodGroup = old.PodGroup
			return index
		}
	}
	panic("runplan: a machine of no kind")
}
