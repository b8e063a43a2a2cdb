package mesh

import (
	"net/netip"
	"testing"
)

// TestAddresses: a mesh knows the sidecar of an inside address, and no other address is one.
func TestAddresses(t *testing.T) {
	m, err := New(3, 1, func(int, int) Conditions { return Conditions{} })
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	for sidecar := range 3 {
		if found := m.sidecarAt(netip.MustParseAddrPort(m.Inside(sidecar)).Addr()); found != sidecar {
			t.Errorf("sidecar %d is found as %d", sidecar, found)
		}
		for _, other := range []netip.Addr{
			netip.MustParseAddrPort(m.Outside(sidecar)).Addr(),
			netip.MustParseAddr(m.AuxiliaryIP(sidecar)),
		} {
			if found := m.sidecarAt(other); found != -1 {
				t.Errorf("%v is found as the inside address of sidecar %d", other, found)
			}
		}
	}
	if found := m.sidecarAt(m.addresses.ip(inside, 3)); found != -1 {
		t.Errorf("an address beyond the last sidecar is found as %d", found)
	}
}

// TestTooManySidecars: a mesh has no address for a sidecar beyond the most.
func TestTooManySidecars(t *testing.T) {
	m, err := New(maxSidecars+1, 1, func(int, int) Conditions { return Conditions{} })
	if err == nil {
		_ = m.Close()
		t.Error("no error")
	}
}
