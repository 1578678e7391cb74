package loop

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindow: a condition counts once it has held for the whole window, without a gap.
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
			t.Errorf("at %s: %v", step.at, got)
		}
	}
}

// TestWindowsForget: a name whose condition does not hold is not kept.
func TestWindowsForget(t *testing.T) {
	windows := Windows{}
	windows.Observe("m-1", true, time.Second, time.Minute)
	windows.Observe("m-2", false, time.Second, time.Minute)
	if len(windows) != 1 {
		t.Errorf("%d windows while one condition holds", len(windows))
	}
	windows.Observe("m-1", false, 2*time.Second, time.Minute)
	if len(windows) != 0 {
		t.Errorf("%d windows while none holds", len(windows))
	}
}

// TestCall: one attempt at a time, and none before the pause is over.
func TestCall(t *testing.T) {
	var call Call
	if !call.TryBegin(time.Second) {
		t.Fatal("the first attempt does not begin")
	}
	if call.TryBegin(time.Minute) {
		t.Error("a second attempt begins while one is under way")
	}
	call.Done(2 * time.Second)
	if call.TryBegin(2*time.Second - 1) {
		t.Error("an attempt begins before the pause is over")
	}
	if !call.TryBegin(2 * time.Second) {
		t.Error("no attempt begins after the pause")
	}
}

// TestWrite: a record is not written again before the view shows its last write.
func TestWrite(t *testing.T) {
	var write Write
	write.Begin()
	write.Written(7)
	if write.Ready(time.Second, 6) {
		t.Error("ready before the view shows the write")
	}
	if !write.Ready(time.Second, 7) {
		t.Error("not ready once it does")
	}
}

// TestTokenBucket: what is taken must have arrived, except for what cannot wait, which is
// paid back first.
func TestTokenBucket(t *testing.T) {
	bucket := NewTokenBucket(10)
	if !bucket.Take(0, 10) || bucket.Take(0, 1) {
		t.Fatal("not exactly a second's tokens were there")
	}
	if wait := bucket.TimeUntil(5); wait != 500*time.Millisecond+time.Millisecond {
		t.Errorf("%s until five tokens", wait)
	}
	if bucket.Take(499*time.Millisecond, 5) || !bucket.Take(501*time.Millisecond, 5) {
		t.Error("five tokens do not arrive in half a second")
	}
	bucket.TakeAnyway(501*time.Millisecond, 100)
	if bucket.Level() != -10 {
		t.Errorf("a debt of %v", bucket.Level())
	}
	if bucket.Take(1500*time.Millisecond, 1) {
		t.Error("a token was taken before the debt was paid")
	}
	if !bucket.Take(3*time.Second, 100) {
		t.Error("more than the bucket holds is never taken")
	}
}

// timers is a clock whose timers are called by the test.
type timers struct{ callbacks []func() }

func (c *timers) Now() time.Duration              { return 0 }
func (c *timers) Wall() time.Time                 { return time.Unix(0, 0) }
func (c *timers) After(_ time.Duration, f func()) { c.callbacks = append(c.callbacks, f) }
func newTestGeneration(clock *timers) *Generation {
	return NewGeneration(clock, rand.New(rand.NewPCG(1, 2)))
}

// TestGenerationDropsCallbacks: what an earlier generation scheduled does not happen, nor
// anything once the controller shuts down.
func TestGenerationDropsCallbacks(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*Generation)
		want int
	}{
		{"active", func(*Generation) {}, 1},
		{"ended", (*Generation).End, 0},
		{"stopping", (*Generation).Stop, 0},
	} {
		clock := &timers{}
		generation := newTestGeneration(clock)
		called := 0
		generation.Later(time.Second, func() { called++ })
		c.end(generation)
		clock.callbacks[0]()
		if called != c.want {
			t.Errorf("%s: called %d times", c.name, called)
		}
	}
}

// TestJitter: pauses are spread between once and twice the time asked for.
func TestJitter(t *testing.T) {
	generation := newTestGeneration(&timers{})
	for range 100 {
		if d := generation.Jitter(time.Second); d < time.Second || d > 2*time.Second {
			t.Fatalf("a pause of %s", d)
		}
	}
}
