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

// validSubmission is a submission with all required fields.
const validSubmission = `{"id":"run-1","lane":"c","crew":"red","shape":"sweep","rank":"normal","pieces":1,"vcpus":1,"gpus":0,"ramGb":1,` +
	`"bundle":"i","sizeGb":1,"together":false,"spread":false,"loaner":false,"guessS":1,"markS":0,"stashS":0}`

// httpExchange is a request with the expected status, and whether a Retry-After header is
// expected.
type httpExchange struct {
	method, path, body string
	wantStatus         int
	wantRetryAfter     bool
}

// check makes the request and checks the status, Retry-After and duration of the answer.
func (e httpExchange) check(t *testing.T, addr string) {
	t.Helper()
	request, err := http.NewRequest(e.method, "http://"+addr+e.path, strings.NewReader(e.body))
	if err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Errorf("%s %s: %v", e.method, e.path, err)
		return
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	retryAfter := response.Header.Get("Retry-After")
	if response.StatusCode != e.wantStatus || (retryAfter != "") != e.wantRetryAfter {
		t.Errorf("%s %s: %d, Retry-After %q", e.method, e.path, response.StatusCode, retryAfter)
	}
	if elapsed := time.Since(startedAt); elapsed > 3*time.Second {
		t.Errorf("%s %s took %s", e.method, e.path, elapsed)
	}
}

// TestServerWithUnreachableStore sends requests over real sockets to a controller whose key-value
// store is unreachable. Requests that need no record get their final answer, and all others are
// answered at once with status 503 and Retry-After.
func TestServerWithUnreachableStore(t *testing.T) {
	loop := runLoop(t)
	limiter := NewLimiter(4, 100)
	metrics := NewMetrics(limiter)
	backend := unreachableBackend(loop, metrics)
	config := singleControllerConfig(loop)
	config.Store, config.Cloud, config.Agents = backend.KVStore, backend.Cloud, backend.Agents
	config.Peers = NewPeerClient(loop, nil)
	controller := coordination.New(config)
	addr, shutdown := serve(t, NewServer(ServerConfig{
		Loop: loop, Controller: controller, Limiter: limiter, Metrics: metrics, MaxConnections: 100,
	}))
	loop.Post(controller.Start)
	for _, exchange := range []httpExchange{
		{"GET", "/healthz", "", 503, true},
		{"GET", "/Healthz", "", 404, false}, // paths are case-sensitive
		{"POST", "/Submissions", validSubmission, 404, false},
		{"POST", "/submissions", "{", 400, false},
		{"POST", "/submissions", `{"pad":"` + strings.Repeat("x", protocol.MaxBody) + `"}`, 400, false},
		{"POST", "/submissions", strings.Repeat("x", 3*protocol.MaxBody), 400, false},
		{"POST", "/submissions", validSubmission, 503, true},
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
		{"POST", "/submissions", "[" + validSubmission + "]", 400, false},
		{"POST", "/submissions", validSubmission + validSubmission, 400, false},
		{"POST", "/submissions", strings.Replace(validSubmission, `"vcpus":1`, `"vcpus":1e400`, 1), 400, false},
		{"POST", "/submissions", strings.Replace(validSubmission, `"vcpus":1`, `"vcpus":-1`, 1), 400, false},
		{"POST", "/submissions", strings.Replace(validSubmission, `"pieces":1`, `"pieces":100001`, 1), 400, false},
		{"POST", "/submissions", strings.Replace(validSubmission, `"rank":"normal",`, "", 1), 400, false},
		{"POST", "/hello", `{"host":"m-1","shift":-1}`, 400, false},
	} {
		exchange.check(t, addr)
	}
	shutdown()
}

// TestServerConnectionLimit checks that five times as many clients as there are sockets are all
// answered although every client leaves its connection open, so that idle connections do not
// keep other clients out.
func TestServerConnectionLimit(t *testing.T) {
	const sockets, clients = 20, 100
	loop := runLoop(t)
	limiter := NewLimiter(4, 100)
	server := NewServer(ServerConfig{
		Loop: loop, Controller: coordination.New(singleControllerConfig(loop)), Limiter: limiter, Metrics: NewMetrics(limiter), MaxConnections: sockets,
	})
	addr, shutdown := serve(t, server)
	closedCount := 0
	for i := range clients {
		status, closed := requestOnce(t, addr)
		if status != http.StatusNotFound {
			t.Errorf("client %d: status %d, want %d", i, status, http.StatusNotFound)
		}
		if closed {
			closedCount++
		}
		if open := server.publicListener.OpenCount(); open > sockets {
			t.Errorf("%d connections open, limit %d", open, sockets)
		}
	}
	if closedCount < clients-sockets || closedCount == clients {
		t.Errorf("%d of %d connections were closed", closedCount, clients)
	}
	shutdown()
}

// requestOnce requests an unknown path on a connection that the client leaves open until the test
// ends, and reports whether the server closes the connection.
func requestOnce(t *testing.T, addr string) (status int, closed bool) {
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
