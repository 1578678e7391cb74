package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// trouble is one disruption of a search: it befalls a controller or a worker, and lasts for a time.
type trouble struct {
	search *search
	node   int
	worker *worker
	length time.Duration
	busy   *sync.Mutex // held while the controller's process is ended, stopped or started
}

// troubleKinds are the kinds of trouble, each with its share.
var troubleKinds = []func(*trouble){
	(*trouble).crash, (*trouble).crash, (*trouble).terminate, (*trouble).terminate, (*trouble).pause, (*trouble).pause,
	(*trouble).refuseStore, (*trouble).cutOff, (*trouble).slowStore, (*trouble).storeOutage, (*trouble).refusePeers, (*trouble).holdPeers,
	(*trouble).loseAnswers, (*trouble).loseAnswers, (*trouble).deafWorker, (*trouble).frozenWorker, (*trouble).slowCommands,
	(*trouble).restartWorker, (*trouble).restartWorker,
}

// troubles plays troubles, several at once, until shortly before the last job.
func (s *search) troubles(random *rand.Rand) {
	time.Sleep(8 * time.Second)
	var all sync.WaitGroup
	busy := make([]sync.Mutex, len(s.rig.nodes))
	for time.Now().Before(s.end.Add(-12 * time.Second)) {
		node, kind := random.IntN(len(s.rig.nodes)), random.IntN(len(troubleKinds))
		t := &trouble{search: s, node: node, length: time.Duration(500+random.IntN(8000)) * time.Millisecond, busy: &busy[node]}
		if workers := s.rig.cloud.workers(); len(workers) > 0 {
			t.worker = workers[random.IntN(len(workers))]
		}
		s.rig.rec.add("rig: trouble %d at %d for %v", kind, node, t.length)
		if t.worker != nil {
			all.Go(func() { troubleKinds[kind](t) })
		}
		time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
	}
	all.Wait()
}

// restart starts the controller again, with the version of today.
func (t *trouble) restart() {
	t.search.rig.nodes[t.node].oldProgram = ""
	if err := t.search.rig.startNode(t.node); err != nil {
		t.search.rig.rec.add("rig: %v", err)
	}
}

func (t *trouble) crash() {
	t.busy.Lock()
	defer t.busy.Unlock()
	t.search.rig.end(t.node, syscall.SIGKILL)
	time.Sleep(min(t.length, 3*time.Second) / 2)
	t.restart()
}

func (t *trouble) terminate() {
	t.busy.Lock()
	defer t.busy.Unlock()
	t.search.rig.end(t.node, syscall.SIGTERM)
	t.restart()
}

func (t *trouble) pause() {
	t.busy.Lock()
	defer t.busy.Unlock()
	t.search.rig.signal(t.node, syscall.SIGSTOP)
	time.Sleep(t.length)
	t.search.rig.signal(t.node, syscall.SIGCONT)
}

// storeFault applies a fault to the controller's link to the state service while the trouble lasts.
func (t *trouble) storeFault(fault linkFault) {
	t.search.rig.store.setFault(t.node, fault)
	time.Sleep(t.length)
	t.search.rig.store.setFault(t.node, linkFault{})
}

func (t *trouble) refuseStore() { t.storeFault(linkFault{refuse: true}) }

func (t *trouble) slowStore() {
	t.storeFault(linkFault{delay: time.Duration(rand.IntN(900)) * time.Millisecond})
}

func (t *trouble) cutOff() {
	t.search.rig.cutPeers(t.node, true)
	t.storeFault(linkFault{cut: true})
	t.search.rig.cutPeers(t.node, false)
}

func (t *trouble) storeOutage() {
	t.search.rig.store.setOutage(true)
	time.Sleep(t.length)
	t.search.rig.store.setOutage(false)
}

func (t *trouble) refusePeers() {
	t.search.rig.cutPeers(t.node, true)
	time.Sleep(t.length)
	t.search.rig.cutPeers(t.node, false)
}

// holdPeers holds back what the controller sends to the others.
func (t *trouble) holdPeers() {
	hold := func(on bool) {
		for pair, link := range t.search.rig.links {
			if pair[0] == t.node {
				link.set(false, on)
			}
		}
	}
	hold(true)
	time.Sleep(t.length)
	hold(false)
}

// loseAnswers has transactions carried out late, or at once without an answer.
func (t *trouble) loseAnswers() {
	set := func(late, lost float64) {
		t.search.rig.store.mu.Lock()
		defer t.search.rig.store.mu.Unlock()
		t.search.rig.store.lateShare, t.search.rig.store.lostShare = late, lost
	}
	set(0.2*rand.Float64(), 0.2*rand.Float64())
	time.Sleep(t.length)
	set(0, 0)
}

// changeWorker changes the worker while the trouble lasts, and then changes it back.
func (t *trouble) changeWorker(change, back func(*worker)) {
	t.search.rig.mu.Lock()
	change(t.worker)
	t.search.rig.mu.Unlock()
	time.Sleep(2 * t.length)
	t.search.rig.mu.Lock()
	back(t.worker)
	t.search.rig.mu.Unlock()
}

func (t *trouble) deafWorker() {
	t.changeWorker(func(w *worker) { w.deaf = true }, func(w *worker) { w.deaf = false })
}

func (t *trouble) frozenWorker() {
	t.changeWorker(func(w *worker) { w.frozen = time.Now().Add(t.length) }, func(*worker) {})
}

func (t *trouble) slowCommands() {
	t.changeWorker(func(w *worker) { w.commandLag = t.length / 2 }, func(w *worker) { w.commandLag = 0 })
}

// restartWorker restarts the worker's machine. No late copy follows.
func (t *trouble) restartWorker() { t.worker.restart() }
