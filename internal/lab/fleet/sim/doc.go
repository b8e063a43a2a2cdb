// Package sim plays a fault plan with sidecars' parts in the fleet stepped in simulated time, and records what the checker
// needs. The same plan and seed give the same record.
package sim
