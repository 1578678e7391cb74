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
type Client struct{ http fasthttp.Client }

// NewClient makes a client with at most perHost connections to any address.
func NewClient(perHost int) *Client {
	return &Client{http: fasthttp.Client{
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		MaxConnsPerHost:               perHost,
		MaxIdleConnDuration:           20 * time.Second,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		MaxConnWaitTimeout: time.Second,
		Dial: func(addr string) (net.Conn, error) {
			return net.DialTimeout("tcp4", addr, time.Second)
		},
	}}
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
