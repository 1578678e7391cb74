package protocol

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// KVClient calls the key-value store. Every error matches one of ErrNotExecuted,
// ErrRejected, ErrOutcomeUnknown, ErrConflict, ErrLeaseNotFound and ErrCompacted.
type KVClient struct {
	HTTP    Caller
	Addr    string
	Timeout time.Duration
}

// keysPerPage is the page size of List.
const keysPerPage = 1000

// storeNoLeaseText is the error text of the store for a transaction whose lease has ended.
const storeNoLeaseText = "no such lease"

func (c *KVClient) endpoint() endpoint {
	return endpoint{http: c.HTTP, addr: c.Addr, timeout: c.Timeout}
}

// Get reads one key; found is false if the key does not exist.
func (c *KVClient) Get(key string) (item KeyValue, found bool, err error) {
	status, answer, err := c.endpoint().send(http.MethodGet, "/store/"+key, nil, &item)
	switch {
	case err != nil:
		return item, false, err
	case status == http.StatusOK && item.Key != key:
		return item, false, fmt.Errorf("%w: get %s: answer is for key %q", ErrOutcomeUnknown, key, item.Key)
	case status == http.StatusOK:
		return item, true, nil
	case status == http.StatusNotFound:
		return item, false, nil
	}
	return item, false, newRefusedError("get", status, answer)
}

// List reads one page of the keys with a prefix, starting after the given key.
func (c *KVClient) List(prefix, after string) (KeyValuePage, error) {
	path := "/store?prefix=" + url.QueryEscape(prefix) + "&most=" + strconv.Itoa(keysPerPage)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	var page KeyValuePage
	err := c.endpoint().expectOK("list", http.MethodGet, path, nil, &page)
	return page, err
}

// Commit executes a transaction and returns its revision. ErrConflict means that a
// precondition did not hold, ErrLeaseNotFound that the lease of an operation has ended.
func (c *KVClient) Commit(transaction Transaction) (uint64, error) {
	if transaction.Preconditions == nil {
		transaction.Preconditions = []Precondition{}
	}
	var committed struct {
		Revision uint64 `json:"epoch"`
	}
	status, answer, err := c.endpoint().send(http.MethodPost, "/multi", transaction, &committed)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK:
		return committed.Revision, nil
	case status == http.StatusConflict:
		return 0, fmt.Errorf("%w: %s", ErrConflict, answer)
	case status == http.StatusBadRequest && hasErrorText(answer, storeNoLeaseText):
		return 0, ErrLeaseNotFound
	}
	return 0, newRefusedError("transaction", status, answer)
}

// OpenLease opens a lease that ends unless it is renewed within the time to live, which is
// truncated to milliseconds.
func (c *KVClient) OpenLease(ttl time.Duration) (uint64, error) {
	request := struct {
		Milliseconds int64 `json:"lifeMs"`
	}{ttl.Milliseconds()}
	var opened struct {
		Lease uint64 `json:"permit"`
	}
	err := c.endpoint().expectOK("open lease", http.MethodPost, "/holds", request, &opened)
	if err == nil && opened.Lease == 0 {
		err = fmt.Errorf("%w: open lease: answer has no lease", ErrOutcomeUnknown)
	}
	return opened.Lease, err
}

// RenewLease renews a lease; ErrLeaseNotFound means that it has ended.
func (c *KVClient) RenewLease(lease uint64) error {
	status, answer, err := c.endpoint().send(http.MethodPost, leasePath(lease)+"/touch", nil, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK || status == http.StatusNoContent:
		return nil
	case status == http.StatusNotFound:
		return ErrLeaseNotFound
	}
	return newRefusedError("renew lease", status, answer)
}

// RevokeLease ends a lease, which deletes the keys attached to the lease. Revoking a lease that
// has already ended is not an error.
func (c *KVClient) RevokeLease(lease uint64) error {
	status, answer, err := c.endpoint().send(http.MethodDelete, leasePath(lease), nil, nil)
	if err == nil && status >= http.StatusMultipleChoices && status != http.StatusNotFound {
		err = newRefusedError("revoke lease", status, answer)
	}
	return err
}

func leasePath(lease uint64) string { return "/holds/" + strconv.FormatUint(lease, 10) }

// Watch waits for changes after a revision for at most the given time. It may return no
// events. ErrCompacted means that the keys must be read again.
func (c *KVClient) Watch(prefix string, after uint64, wait time.Duration) (Changes, error) {
	path := "/follow?prefix=" + url.QueryEscape(prefix) + "&from=" + strconv.FormatUint(after, 10) +
		"&blockMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	watchEndpoint := c.endpoint()
	watchEndpoint.timeout += wait
	var changes Changes
	status, answer, err := watchEndpoint.send(http.MethodGet, path, nil, &changes)
	switch {
	case err != nil:
		return changes, err
	case status == http.StatusOK:
		return changes, nil
	case status == http.StatusGone:
		return changes, ErrCompacted
	}
	return changes, newRefusedError("watch", status, answer)
}
