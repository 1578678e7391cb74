package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
)

// wholeSubmission has every field that must be there.
const wholeSubmission = `{"id":"run-1","lane":"c","crew":"red","shape":"sweep","rank":"normal","pieces":1,"vcpus":1,"gpus":0,"ramGb":1,` +
	`"bundle":"i","sizeGb":1,"together":false,"spread":false,"loaner":false,"guessS":1,"markS":0,"stashS":0}`

// httpExchange is a request, the status of its answer, and whether that says when to retry.
type httpExchange struct {
	method, path, body string
	status             int
	retry              bool
}

// check makes the request and compares the answer.
func (e httpExchange) check(t *testing.T, addr string) {
	t.Helper()
	request, err := http.NewRequest(e.method, "http://"+addr+e.path, strings.NewReader(e.body))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Errorf("%s %s: %v", e.method, e.path, err)
		return
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	retryAfter := response.Header.Get("Retry-After")
	if response.StatusCode != e.status || (retryAfter != "") != e.retry {
		t.Errorf("%s %s: %d, Retry-After %q", e.method, e.path, response.StatusCode, retryAfter)
	}
	if elapsed := time.Since(began); elapsed > 3*time.Second {
		t.Errorf("%s %s took %s", e.method, e.path, elapsed)
	}
}

// TestServer asks a controller whose key-value store is away over real sockets: what can be
// decided is, the rest is answered at once with when to come back.
func TestServer(t *testing.T) {
	loop := runLoop(t)
	limiter := NewLimiter(4, 100)
	metrics := NewMetrics(limiter)
	backend := unreachableBackend(loop, metrics)
	config := soleController(loop)
	config.Store, config.Cloud, config.Agents = backend.KVStore, backend.Cloud, backend.Agents
	config.Peers = NewPeerCalls(loop, nil)
	controller := coordination.New(config)
	addr, shutdown := serve(t, NewServer(ServerConfig{
		Loop: loop, Controller: controller, Limiter: limiter, Metrics: metrics, Sockets: 100,
	}))
	loop.Post(controller.Start)
	for _, e := range []httpExchange{
		{"GET", "/healthz", "", 503, true},
		{"POST", "/submissions", "{", 400, false},
		{"POST", "/submissions", `{"pad":"` + strings.Repeat("x", protocol.MaxBody) + `"}`, 400, false},
		{"POST", "/submissions", strings.Repeat("x", 3*protocol.MaxBody), 400, false},
		{"POST", "/submissions", wholeSubmission, 503, true},
		{"GET", "/submissions/nonsense", "", 404, false},
		{"GET", "/submissions/run-1", "", 503, true},
		{"POST", "/submissions/run-1/withdraw", "", 503, true},
		{"POST", "/hello", "nonsense", 400, false},
		{"POST", "/hello", `{"host":"m-1","shift":1,"tick":1,"pieces":[]}`, 503, true},
		{"GET", "/autoscaler/status", "", 200, false},
		{"GET", "/metrics", "", 200, false},
		{"GET", "/nowhere", "", 404, false},
		{"GET", "/submissions", "", 405, false},
		{"DELETE", "/submissions/run-1", "", 405, false},
		{"PUT", "/hello", "{}", 405, false},
		{"GET", "/submissions/run-1/withdraw", "", 405, false},
		{"POST", "/submissions/run-1/nothing", "", 404, false},
		{"POST", "/submissions/run-x/withdraw", "", 404, false},
		{"POST", "/submissions", "null", 400, false},
		{"POST", "/submissions", "[" + wholeSubmission + "]", 400, false},
		{"POST", "/submissions", wholeSubmission + wholeSubmission, 400, false},
		{"POST", "/submissions", strings.Replace(wholeSubmission, `"vcpus":1`, `"vcpus":1e400`, 1), 400, false},
		{"POST", "/submissions", strings.Replace(wholeSubmission, `"vcpus":1`, `"vcpus":-1`, 1), 400, false},
		{"POST", "/submissions", strings.Replace(wholeSubmission, `"pieces":1`, `"pieces":100001`, 1), 400, false},
		{"POST", "/submissions", strings.Replace(wholeSubmission, `"rank":"normal",`, "", 1), 400, false},
		{"POST", "/hello", `{"host":"m-1","shift":-1}`, 400, false},
	} {
		e.check(t, addr)
	}
	shutdown()
}

// TestManyConnections: many more clients than there are sockets, all keeping their
// connections open, are all answered, and those that hold one idle don't keep others out.
func TestManyConnections(t *testing.T) {
	const sockets, clients = 20, 100
	loop := runLoop(t)
	limiter := NewLimiter(4, 100)
	server := NewServer(ServerConfig{
		Loop: loop, Controller: coordination.New(soleController(loop)), Limiter: limiter, Metrics: NewMetrics(limiter), Sockets: sockets,
	})
	addr, shutdown := serve(t, server)
	closing := 0
	for i := range clients {
		status, closed := askOnce(t, addr)
		if status != http.StatusNotFound {
			t.Errorf("client %d: %d", i, status)
		}
		if closed {
			closing++
		}
		if open := server.public.Open(); open > sockets {
			t.Errorf("%d connections open", open)
		}
	}
	if closing < clients-sockets || closing == clients {
		t.Errorf("%d of %d were closed", closing, clients)
	}
	shutdown()
}

// askOnce asks for a path that there is none of, on a connection that the client leaves open
// until the test ends, and tells whether the server closes it.
func askOnce(t *testing.T, addr string) (status int, closed bool) {
	t.Helper()
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "GET /autoscaler/nothing HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	return response.StatusCode, response.Close
}
