package storage

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
)

// TestDecodedRecordsOutliveCollections reads pages while the garbage collector runs
// all the time, and looks at what was read afterwards. A JSON package that uses package
// unsafe once left pointers to freed memory behind: the runtime ended the process, or
// a page would have said something else than its record.
func TestDecodedRecordsOutliveCollections(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(1))
	const pages, jobs, tasks = 60, 12, 20
	entry := func(page, job, task int) string {
		return IntentEntry(task, fmt.Sprintf("m-%06d", page*1000+job), uint64(task+1))
	}
	stop := make(chan struct{})
	var collecting sync.WaitGroup
	collecting.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				runtime.GC()
			}
		}
	})
	view := NewView([]Team{{Name: "red"}}, 1)
	for round := range 4 {
		for page := range pages {
			record := IntentPage{}
			for job := range jobs {
				id := fmt.Sprintf("run-%d", page*100+job)
				for task := range tasks {
					record[id] = append(record[id], entry(page, job, task))
				}
			}
			if err := view.Apply(IntentPageKey(PageID{Page: page}), Encode(record), uint64(round*pages+page+1)); err != nil {
				t.Fatal(err)
			}
		}
	}
	close(stop)
	collecting.Wait()
	for page := range pages {
		for job := range jobs {
			_, m := view.Machines.Find(fmt.Sprintf("m-%06d", page*1000+job))
			if m == nil || len(m.Intents) != tasks {
				t.Fatalf("page %d, job %d: %+v", page, job, m)
			}
			for ref, intent := range m.Intents {
				if intent.Attempt != uint64(ref.Task+1) || view.Jobs.Get(ref.Job).ID != fmt.Sprintf("run-%d", page*100+job) {
					t.Errorf("page %d, job %d: %+v is %+v", page, job, ref, intent)
				}
			}
		}
	}
}
