package loopback

import (
	"context"
	"fmt"
	"net"
	"path/filepath"

	"milletramp.example/milletramp/internal/standin"
)

// build creates the servers, links, discovery services and sidecars, and waits until all sidecars are ready.
func (r *run) build(ctx context.Context) error {
	for i := range r.plan.Machines {
		if err := r.addServer(i); err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
	}
	for i := range r.plan.Scenario.Fleet.Sidecars {
		if err := r.addSidecar(i); err != nil {
			return err
		}
	}
	return r.startSidecars(ctx)
}

// addServer creates a server and reserves its address. A server that starts later has no listener yet.
func (r *run) addServer(i int) error {
	fleet := r.plan.Scenario.Fleet
	server := standin.NewNode(standin.NodeOptions{
		Number:        int32(i),
		Requests:      r.requests,
		Log:           r.log,
		ConnCap:       fleet.MaxConns,
		Handshake:     fleet.HandshakeWork.Std(),
		IdleTimeout:   fleet.IdleClose.Std(),
		StopsOnCancel: fleet.StopsCancelled,
	})
	// Each server has an IP address of its own, so that no outgoing connection takes its port while it is down.
	listener, err := net.Listen("tcp", loopbackAddress(serverNetwork, i))
	if err != nil {
		return err
	}
	r.servers = append(r.servers, server)
	r.serverAddresses = append(r.serverAddresses, listener.Addr().String())
	if r.plan.Machines[i].StartsAt > 0 {
		_ = listener.Close()
		listener = nil
	}
	r.listeners = append(r.listeners, listener)
	return nil
}

// addSidecar creates a sidecar's links, its discovery service and its process, which is not started.
func (r *run) addSidecar(i int) error {
	if err := r.addLinks(i); err != nil {
		return err
	}
	discovery, err := standin.NewDiscovery(int32(i), r.initialEntries(i), r.log, r.serverIndex)
	if err != nil {
		return err
	}
	r.discoveries = append(r.discoveries, discovery)
	address, err := reservePort(loopbackAddress(sidecarNetwork, i))
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", i, err)
	}
	name := fmt.Sprintf("n%d", i)
	r.sidecars = append(r.sidecars, &process{
		name:       name,
		command:    r.options.Command,
		configFile: filepath.Join(r.directory, name+".json"),
		log:        r.options.SidecarLog,
		address:    address,
	})
	return nil
}
