package sidecar

import "milletramp.example/milletramp/internal/hotrestart"

const (
	// shareDivisor is the number of equal parts of a limit, of which each process may always use one. A group has at
	// most two processes that serve.
	shareDivisor = 2
	// growthDivisor is the number of parts of a limit, of which a process that uses more than its equal part may add
	// one until its share is computed anew. The other process may grow at the same time.
	growthDivisor = 4
)

// shareOf returns the limit of this process on something of which total may be used by all processes of the sidecar
// together. own and others are the amounts that this process and the others use. A process may use what the others
// leave free, because connections that are in use cannot move to another process; it may always use an equal part.
func shareOf(total, own, others int) int {
	free := total - others
	growth := own + total/growthDivisor
	return max(total/shareDivisor, min(free, growth))
}

// divide returns the share of a process in the budget of the sidecar. own is the usage of this process, and others that
// of each other process; nil if that process does not publish it, which then counts as an equal part.
func (b socketBudget) divide(own hotrestart.Usage, others []*hotrestart.Usage) socketBudget {
	sum := hotrestart.Usage{}
	for _, usage := range others {
		if usage == nil {
			usage = b.equalPart()
		}
		sum.ClientConns += usage.ClientConns
		sum.UpstreamConns += usage.UpstreamConns
		sum.Requests += usage.Requests
	}
	return socketBudget{
		Requests:       shareOf(b.Requests, own.Requests, sum.Requests),
		ClientConns:    shareOf(b.ClientConns, own.ClientConns, sum.ClientConns),
		KeepAliveConns: max(b.KeepAliveConns/shareDivisor, 1),
		UpstreamConns:  shareOf(b.UpstreamConns, own.UpstreamConns, sum.UpstreamConns),
	}
}

// equalPart returns the usage of a process that uses an equal part of the budget.
func (b socketBudget) equalPart() *hotrestart.Usage {
	return &hotrestart.Usage{
		ClientConns:   b.ClientConns / shareDivisor,
		UpstreamConns: b.UpstreamConns / shareDivisor,
		Requests:      b.Requests / shareDivisor,
	}
}

// usage returns what this process uses of the sidecar's budget.
func (p *process) usage() hotrestart.Usage {
	upstreamConns, _ := p.loop.Upstream().ConnCounts()
	return hotrestart.Usage{
		ClientConns:   p.conns.Counts().Open,
		UpstreamConns: upstreamConns,
		Requests:      p.handler.InFlight(),
	}
}

// divideLimits sets the limits of this process to its share of the sidecar's limits, and publishes what it uses if
// there are other processes.
func (p *process) divideLimits(others []hotrestart.State) {
	budget := newSocketBudget(p.config)
	if len(others) > 0 {
		own := p.usage()
		p.operator.group.publishUsage(own)
		budget = budget.divide(own, usagesOf(others))
	}
	p.handler.SetMaxInFlight(budget.Requests)
	p.conns.SetLimits(budget.ClientConns, budget.KeepAliveConns)
	p.loop.Upstream().SetMaxConns(budget.UpstreamConns)
}

// usagesOf returns the usage of each process, nil for one that does not publish it.
func usagesOf(processes []hotrestart.State) []*hotrestart.Usage {
	usages := make([]*hotrestart.Usage, len(processes))
	for i := range processes {
		usages[i] = processes[i].Usage
	}
	return usages
}
