package storage

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
)

// Size of what TestDecodedRecordsOutliveCollections reads: pages of intents, each of so
// many jobs of which one machine has so many tasks.
const decodedPages, decodedJobs, decodedTasks = 60, 12, 20

func decodedJob(page, job int) string     { return fmt.Sprintf("run-%d", page*100+job) }
func decodedMachine(page, job int) string { return fmt.Sprintf("m-%06d", page*1000+job) }
func decodedAttempt(task int) uint64      { return uint64(task + 1) }

func decodedPage(page int) IntentPage {
	record := IntentPage{}
	for job := range decodedJobs {
		id := decodedJob(page, job)
		for task := range decodedTasks {
			record[id] = append(record[id], IntentEntry(task, decodedMachine(page, job), decodedAttempt(task)))
		}
	}
	return record
}

// collectAllTheTime runs the garbage collector until stop is called.
func collectAllTheTime() (stop func()) {
	stopped := make(chan struct{})
	var collecting sync.WaitGroup
	collecting.Go(func() {
		for {
			select {
			case <-stopped:
				return
			default:
				runtime.GC()
			}
		}
	})
	return func() {
		close(stopped)
		collecting.Wait()
	}
}

// TestDecodedRecordsOutliveCollections reads pages while the garbage collector runs
// all the time, and looks at what was read afterwards. A JSON package that uses package
// unsafe once left pointers to freed memory behind: the runtime ended the process, or
// a page would have said something else than its record.
func TestDecodedRecordsOutliveCollections(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(1))
	stop := collectAllTheTime()
	v := newTestView(t, 1)
	for range 4 {
		for page := range decodedPages {
			v.put(IntentPageKey(PageID{Page: page}), decodedPage(page))
		}
	}
	stop()
	for page := range decodedPages {
		for job := range decodedJobs {
			m := v.findMachine(decodedMachine(page, job))
			if len(m.Intents) != decodedTasks {
				t.Fatalf("page %d, job %d: %+v", page, job, m)
			}
			for ref, intent := range m.Intents {
				if intent.Attempt != decodedAttempt(ref.Task) || v.Jobs.Get(ref.Job).ID != decodedJob(page, job) {
					t.Errorf("page %d, job %d: %+v is %+v", page, job, ref, intent)
				}
			}
		}
	}
}
