package loop

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindow checks that a condition must hold for the whole window without interruption.
func TestWindow(t *testing.T) {
	const length = 20 * time.Second
	var window Window
	for _, step := range []struct {
		at          time.Duration
		holds, want bool
	}{
		{0, true, false}, {19 * time.Second, true, false}, {20*time.Second + 1, true, true},
		{25 * time.Second, false, false}, {26 * time.Second, true, false}, {45 * time.Second, true, false}, {46 * time.Second, true, true},
	} {
		if got := window.Observe(step.holds, step.at, length); got != step.want {
			t.Errorf("at %s: Observe returned %v", step.at, got)
		}
	}
}

// TestWindowsRemoveUnmetConditions checks that no entry is retained for a name whose condition
// does not hold.
func TestWindowsRemoveUnmetConditions(t *testing.T) {
	windows := Windows{}
	windows.Observe("m-1", true, time.Second, time.Minute)
	windows.Observe("m-2", false, time.Second, time.Minute)
	if len(windows) != 1 {
		t.Errorf("%d windows while one condition holds, want 1", len(windows))
	}
	windows.Observe("m-1", false, 2*time.Second, time.Minute)
	if len(windows) != 0 {
		t.Errorf("%d windows while no condition holds, want 0", len(windows))
	}
}

// TestCall checks that at most one attempt is in flight, and that none begins before the
// delay is over.
func TestCall(t *testing.T) {
	var call Call
	if !call.TryBegin(time.Second) {
		t.Fatal("the first attempt did not begin")
	}
	if call.TryBegin(time.Minute) {
		t.Error("a second attempt began while one was in flight")
	}
	call.FinishAndDelayUntil(2 * time.Second)
	if call.TryBegin(2*time.Second - 1) {
		t.Error("an attempt began before the delay was over")
	}
	if !call.TryBegin(2 * time.Second) {
		t.Error("no attempt began after the delay")
	}
}

// TestWrite checks that a record is not written again before the view includes its previous
// write.
func TestWrite(t *testing.T) {
	var write Write
	write.Begin()
	write.Written(7)
	if write.Ready(time.Second, 6) {
		t.Error("ready before the view includes the previous write")
	}
	if !write.Ready(time.Second, 7) {
		t.Error("not ready once the view includes the previous write")
	}
}

// TestTokenBucket checks that tokens are available only once they have arrived, and that the
// debt of ForceConsume must be paid back before more tokens are available.
func TestTokenBucket(t *testing.T) {
	bucket := NewTokenBucket(10)
	if !bucket.TryConsume(0, 10) || bucket.TryConsume(0, 1) {
		t.Fatal("the new bucket did not hold exactly the tokens of one second")
	}
	if wait := bucket.TimeUntil(5); wait != 500*time.Millisecond+time.Millisecond {
		t.Errorf("%s until five tokens are available, want 501ms", wait)
	}
	if bucket.TryConsume(499*time.Millisecond, 5) || !bucket.TryConsume(501*time.Millisecond, 5) {
		t.Error("five tokens did not become available between 499ms and 501ms")
	}
	bucket.ForceConsume(501*time.Millisecond, 100)
	if bucket.Level() != -10 {
		t.Errorf("level %v, want a debt of 10 tokens", bucket.Level())
	}
	if bucket.TryConsume(1500*time.Millisecond, 1) {
		t.Error("a token was consumed before the debt was paid back")
	}
	if !bucket.TryConsume(3*time.Second, 100) {
		t.Error("a full bucket refused a request larger than its capacity")
	}
}

// manualClock is a clock whose timers are fired by the test.
type manualClock struct{ callbacks []func() }

func (c *manualClock) Now() time.Duration              { return 0 }
func (c *manualClock) Wall() time.Time                 { return time.Unix(0, 0) }
func (c *manualClock) After(_ time.Duration, f func()) { c.callbacks = append(c.callbacks, f) }
func newTestGeneration(clock *manualClock) *Generation {
	return NewGeneration(clock, rand.New(rand.NewPCG(1, 2)))
}

// TestGenerationDiscardsCallbacks checks that scheduled callbacks run neither after the
// generation has ended nor while the controller is shutting down.
func TestGenerationDiscardsCallbacks(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*Generation)
		want int
	}{
		{"active", func(*Generation) {}, 1},
		{"ended", (*Generation).End, 0},
		{"stopping", (*Generation).Stop, 0},
	} {
		clock := &manualClock{}
		generation := newTestGeneration(clock)
		called := 0
		generation.AfterIfActive(time.Second, func() { called++ })
		c.end(generation)
		clock.callbacks[0]()
		if called != c.want {
			t.Errorf("%s: called %d times, want %d", c.name, called, c.want)
		}
	}
}

// TestJitter checks that delays are between once and twice the given duration.
func TestJitter(t *testing.T) {
	generation := newTestGeneration(&manualClock{})
	for range 100 {
		if d := generation.Jitter(time.Second); d < time.Second || d > 2*time.Second {
			t.Fatalf("delay %s is not between 1s and 2s", d)
		}
	}
}
