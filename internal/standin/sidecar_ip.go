package standin

import (
	"net"
	"net/http"
)

// sidecarsPerBlock is how many sidecars share the third byte of their addresses.
const sidecarsPerBlock = 200

// SidecarIP returns where the links of a sidecar connect from, so that servers know which sidecar a request is from.
func SidecarIP(sidecar int) net.IP {
	return net.IPv4(127, 0, byte(1+sidecar/sidecarsPerBlock), byte(1+sidecar%sidecarsPerBlock))
}

// sidecarOf returns the sidecar that a request came through, or -1.
func sidecarOf(r *http.Request) int32 {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	ip := net.ParseIP(host).To4()
	if ip == nil || ip[2] == 0 {
		return -1
	}
	return int32(ip[2]-1)*sidecarsPerBlock + int32(ip[3]) - 1
}
