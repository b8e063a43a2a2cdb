package upstream

import (
	"net"
	"net/http"
	"testing"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestRestartedServerGetsNewConnections has a server drain, serve again, restart and be removed. Only a restart or a
// removal may close its connections.
func TestRestartedServerGetsNewConnections(t *testing.T) {
	conns := make(chan net.Conn, 10)
	backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		conns <- conn
		return testserver.Respond(200, "", "")(conn, r, body)
	})
	client := newTestClient(t, backend)
	usedConn := func() net.Conn {
		if response := sendRequest(client, "s-0", newGetRequest()); response.Outcome != balance.Served {
			t.Fatalf("outcome %d", response.Outcome)
		}
		return testserver.Receive(t, conns, "connection")
	}
	first := usedConn()
	updateEndpoint(t, client, 2, backend.Address, "DRAINING", 0)
	if response := sendRequest(client, "s-0", newGetRequest()); response.Outcome != balance.NotSent {
		t.Errorf("outcome %d at a draining server", response.Outcome)
	}
	updateEndpoint(t, client, 2, backend.Address, "SERVING", 0)
	if usedConn() != first {
		t.Error("a change of the server state closed the connection")
	}
	updateEndpoint(t, client, 3, backend.Address, "SERVING", 1700000000000)
	if usedConn() == first {
		t.Error("a request was sent on a connection to the previous process")
	}
	updateEndpoint(t, client, 4, backend.Address, "DELETED", 0)
	if response := sendRequest(client, "s-0", newGetRequest()); response.Outcome != balance.NotSent {
		t.Errorf("outcome %d at a removed server", response.Outcome)
	}
	updateEndpoint(t, client, 5, backend.Address, "SERVING", 0)
	usedConn()
}

// TestConnectionsOfRemovedServerAreNotReused checks that connections to a removed server are not used for a new server
// at the same address. A request in flight at the removed server is still served, and its connection is closed
// afterwards.
func TestConnectionsOfRemovedServerAreNotReused(t *testing.T) {
	conns := make(chan net.Conn, 10)
	mayRespond := make(chan bool, 10)
	backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		conns <- conn
		<-mayRespond
		return testserver.Respond(200, "", "ok")(conn, r, body)
	})
	client := newTestClient(t, backend)
	ended := make(chan Response, 1)
	sendTo := func(id string) { ended <- sendRequest(client, id, newGetRequest()) }
	mayRespond <- true
	sendTo("s-0")
	testserver.Receive(t, ended, "end")
	idle := testserver.Receive(t, conns, "connection")
	go sendTo("s-0")
	if testserver.Receive(t, conns, "connection") != idle {
		t.Fatal("the idle connection was not used")
	}
	successor := testserver.EndpointEntry("s-new", backend.Address, "SERVING", 0)
	updateList(t, client, testserver.ListText(2, true, successor))
	mayRespond <- true
	if response := testserver.Receive(t, ended, "end"); response.Outcome != balance.Served {
		t.Errorf("outcome %d of a request in flight when its server was removed", response.Outcome)
	}
	if client.pool.openConns != 0 {
		t.Errorf("%d connections to a removed server are open", client.pool.openConns)
	}
	mayRespond <- true
	sendTo("s-new")
	testserver.Receive(t, ended, "end")
	if testserver.Receive(t, conns, "connection") == idle {
		t.Error("a connection to the removed server was used for the new server")
	}
}
