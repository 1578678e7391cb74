package storage

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
)

// samplePages, sampleJobsPerPage and sampleTasksPerJob are the numbers of intent pages, of jobs
// per page and of tasks per job that TestDecodedRecordsSurviveGarbageCollection decodes.
// All tasks of a job are on one machine.
const samplePages, sampleJobsPerPage, sampleTasksPerJob = 60, 12, 20

func sampleJobID(page, job int) string       { return fmt.Sprintf("run-%d", page*100+job) }
func sampleMachineName(page, job int) string { return fmt.Sprintf("m-%06d", page*1000+job) }
func sampleAttempt(task int) uint64          { return uint64(task + 1) }

func samplePage(page int) IntentPage {
	record := IntentPage{}
	for job := range sampleJobsPerPage {
		id := sampleJobID(page, job)
		for task := range sampleTasksPerJob {
			record[id] = append(record[id], IntentEntry(task, sampleMachineName(page, job), sampleAttempt(task)))
		}
	}
	return record
}

// collectGarbageContinuously runs the garbage collector until stop is called.
func collectGarbageContinuously() (stop func()) {
	stopped := make(chan struct{})
	var collector sync.WaitGroup
	collector.Go(func() {
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
		collector.Wait()
	}
}

// TestDecodedRecordsSurviveGarbageCollection decodes pages while the garbage collector runs
// continuously, and then compares the view with the records. A JSON package that uses package
// unsafe once left pointers to freed memory: the runtime terminated the process, and a decoded
// page could have differed from its record.
func TestDecodedRecordsSurviveGarbageCollection(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(1))
	stop := collectGarbageContinuously()
	v := newTestView(t, 1)
	for range 4 {
		for page := range samplePages {
			v.put(IntentPageKey(PageID{Page: page}), samplePage(page))
		}
	}
	stop()
	for page := range samplePages {
		for job := range sampleJobsPerPage {
			m := v.findMachine(sampleMachineName(page, job))
			if len(m.Intents) != sampleTasksPerJob {
				t.Fatalf("page %d, job %d: machine %+v", page, job, m)
			}
			for ref, intent := range m.Intents {
				if intent.Attempt != sampleAttempt(ref.Task) || v.Jobs.Get(ref.Job).ID != sampleJobID(page, job) {
					t.Errorf("page %d, job %d: task %+v has intent %+v", page, job, ref, intent)
				}
			}
		}
	}
}
