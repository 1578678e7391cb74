package transport

import (
	"sync"
	"testing"
	"time"
)

// TestLimiter shows that the limit narrows when measured times rise above what
// they were, that requests beyond it are refused at once with cancellations shed
// last, and that it recovers.
func TestLimiter(t *testing.T) {
	limiter := NewLimiter(2, 40)
	loadLimiter(limiter, 4, 2*time.Millisecond, 4*time.Second)
	usual := limiter.Limit()
	loadLimiter(limiter, 40, 10*time.Millisecond, 8*time.Second)
	narrow := limiter.Limit()
	t.Logf("limit: usual %d, narrow %d", usual, narrow)
	if narrow >= usual {
		t.Errorf("times rose and the limit went from %d to %d", usual, narrow)
	}
	var open []func()
	for {
		release, ok := limiter.acquire(classSubmit)
		if !ok {
			break
		}
		open = append(open, release)
	}
	if _, ok := limiter.acquire(classStatus); ok {
		t.Error("a status request was admitted above the limit")
	}
	if release, ok := limiter.acquire(classCancel); !ok {
		t.Error("a cancellation was shed")
	} else {
		release()
	}
	for _, release := range open {
		release()
	}
	loadLimiter(limiter, 4, 2*time.Millisecond, 8*time.Second)
	if limiter.Limit() <= narrow {
		t.Errorf("times fell and the limit went from %d to %d", narrow, limiter.Limit())
	}
}

// loadLimiter lets a number of users ask all the time of a server that works on one request
// after another, so that times rise with what is in progress.
func loadLimiter(limiter *Limiter, users int, each, lasts time.Duration) {
	var server sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(lasts)
	for range users {
		all.Go(func() {
			for time.Now().Before(end) {
				release, ok := limiter.acquire(classSubmit)
				if !ok {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				server.Lock()
				time.Sleep(each)
				server.Unlock()
				release()
			}
		})
	}
	all.Wait()
}
