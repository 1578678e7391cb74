package transport

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Client makes HTTP requests over pooled connections. It never repeats a
// request by itself: only the caller knows whether that is harmless.
type Client struct {
	http  fasthttp.Client
	limit int
	gauge
}

// NewClient makes a client with at most perHost connections to any address and
// at most limit to all.
func NewClient(perHost, limit int, idle time.Duration) *Client {
	c := &Client{limit: limit}
	c.http = fasthttp.Client{
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		MaxConnsPerHost:               perHost,
		MaxIdleConnDuration:           idle,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		MaxConnWaitTimeout: time.Second,
		Dial: func(addr string) (net.Conn, error) {
			if c.Open() >= limit {
				return nil, errSockets
			}
			conn, err := net.DialTimeout("tcp4", addr, time.Second)
			if err != nil {
				return nil, err
			}
			return c.track(conn), nil
		},
	}
	return c
}

// Call makes one request. An error means that no answer came.
func (c *Client) Call(method, addr, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if !keep(c.Open(), c.limit) {
		req.SetConnectionClose()
	}
	err := c.http.DoTimeout(req, resp, timeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) && method == fasthttp.MethodGet {
		// A pooled connection that the other side had closed; a read may be
		// repeated.
		resp.Reset()
		err = c.http.DoTimeout(req, resp, timeout)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, addr, err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
