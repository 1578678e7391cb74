package transport

import (
	"sync"
	"testing"
	"time"
)

// TestLimiter checks that the limit falls when request durations rise above their earlier level,
// that status and submit requests above the limit are rejected at once while cancellations are
// admitted, and that the limit recovers.
func TestLimiter(t *testing.T) {
	limiter := NewLimiter(2, 40)
	loadLimiter(limiter, 4, 2*time.Millisecond, 4*time.Second)
	baseline := limiter.Limit()
	loadLimiter(limiter, 40, 10*time.Millisecond, 8*time.Second)
	reduced := limiter.Limit()
	t.Logf("limit: baseline %d, reduced %d", baseline, reduced)
	if reduced >= baseline {
		t.Errorf("request durations rose, but the limit went from %d to %d", baseline, reduced)
	}
	var releases []func()
	for {
		release, ok := limiter.acquire(classSubmit)
		if !ok {
			break
		}
		releases = append(releases, release)
	}
	if _, ok := limiter.acquire(classStatus); ok {
		t.Error("a status request was admitted above the limit")
	}
	if release, ok := limiter.acquire(classCancel); !ok {
		t.Error("a cancellation was shed")
	} else {
		release()
	}
	for _, release := range releases {
		release()
	}
	loadLimiter(limiter, 4, 2*time.Millisecond, 8*time.Second)
	if limiter.Limit() <= reduced {
		t.Errorf("request durations fell, but the limit went from %d to %d", reduced, limiter.Limit())
	}
}

// loadLimiter simulates a number of users that continuously send requests to a server that
// handles one request at a time, so that durations rise with the number of requests in progress.
func loadLimiter(limiter *Limiter, users int, serviceTime, duration time.Duration) {
	var server sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(duration)
	for range users {
		clients.Go(func() {
			for time.Now().Before(end) {
				release, ok := limiter.acquire(classSubmit)
				if !ok {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				server.Lock()
				time.Sleep(serviceTime)
				server.Unlock()
				release()
			}
		})
	}
	clients.Wait()
}
