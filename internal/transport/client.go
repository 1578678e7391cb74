package transport

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// dialTimeout limits the time to open a connection, and the wait for a pooled connection that
// another call is using.
const dialTimeout = time.Second

// ClientConfig configures a Client.
type ClientConfig struct {
	MaxConnectionsPerHost int           // maximum connections to one address
	MaxConnections        int           // maximum connections to all addresses together
	IdleTimeout           time.Duration // how long an unused connection stays open
}

// Client makes HTTP requests over pooled connections. It retries only a GET request whose
// pooled connection the server had closed, because only the caller knows whether repeating
// any other request is safe. It implements protocol.Caller and is safe for concurrent use.
type Client struct {
	http           fasthttp.Client
	maxConnections int
	connectionGauge
}

// NewClient returns a Client.
func NewClient(config ClientConfig) *Client {
	client := &Client{maxConnections: config.MaxConnections}
	client.http = fasthttp.Client{
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		MaxConnsPerHost:               config.MaxConnectionsPerHost,
		MaxIdleConnDuration:           config.IdleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		MaxConnWaitTimeout:            dialTimeout,
		Dial:                          client.dial,
	}
	return client
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func (c *Client) dial(addr string) (net.Conn, error) {
	if c.OpenCount() >= c.maxConnections {
		return nil, errTooManyConnections
	}
	conn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return c.track(conn), nil
}

// Call makes one request and returns the status and the body of the answer. An error means
// that no answer was received.
func (c *Client) Call(method, addr, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + addr + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if !keepAliveAllowed(c.OpenCount(), c.maxConnections) {
		request.SetConnectionClose()
	}
	err := c.http.DoTimeout(request, response, timeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) && method == fasthttp.MethodGet {
		// The server had closed the pooled connection; a GET request is safe to retry.
		response.Reset()
		err = c.http.DoTimeout(request, response, timeout)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, addr, err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}
