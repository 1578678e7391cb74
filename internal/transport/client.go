package transport

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// dialTimeout bounds opening a connection, and waiting for one that another call uses.
const dialTimeout = time.Second

// ClientConfig is what a Client is made of.
type ClientConfig struct {
	PerHost int           // connections to any address, at most
	Total   int           // connections to all addresses together, at most
	Idle    time.Duration // how long a connection stays open without a call
}

// Client makes HTTP requests over pooled connections. Except for a read on a pooled
// connection that the other side had closed it never repeats a request by itself: only the
// caller knows whether that is harmless. It implements protocol.Caller and may be used from
// any goroutine.
type Client struct {
	http  fasthttp.Client
	total int
	connectionGauge
}

// NewClient makes a client.
func NewClient(config ClientConfig) *Client {
	client := &Client{total: config.Total}
	client.http = fasthttp.Client{
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		MaxConnsPerHost:               config.PerHost,
		MaxIdleConnDuration:           config.Idle,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		MaxConnWaitTimeout:            dialTimeout,
		Dial:                          client.dial,
	}
	return client
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func (c *Client) dial(addr string) (net.Conn, error) {
	if c.Open() >= c.total {
		return nil, errSockets
	}
	conn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return c.track(conn), nil
}

// Call makes one request and returns the status and the body of the answer. An error means
// that no answer came.
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
	if !mayKeepOpen(c.Open(), c.total) {
		request.SetConnectionClose()
	}
	err := c.http.DoTimeout(request, response, timeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) && method == fasthttp.MethodGet {
		// A pooled connection that the other side had closed; a read may be repeated.
		response.Reset()
		err = c.http.DoTimeout(request, response, timeout)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, addr, err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}
