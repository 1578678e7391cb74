package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { cases["unknown-field"] = playUnknownField }

// playUnknownField submits a job whose description has one more field, which PROTOCOL does not
// know: the user's own "ID". The fields that PROTOCOL knows are all there.
func playUnknownField(r *rig, trouble bool) (int, string) {
	if err := r.startAll(); err != nil {
		return exitNotRun, err.Error()
	}
	if !r.waitReady(20*time.Second, 0, 1, 2) {
		return exitNotRun, "the controllers did not become healthy"
	}
	if status, _ := r.submit(newJob(1, "sweep", 1, 1, 1), 30*time.Second); status != 201 {
		return exitNotRun, "the first job was not accepted"
	}
	spec := newJob(101, "sweep", 2, 1, 1)
	r.upload(spec)
	body := encode(spec)
	const foreign = "run-000900" // nobody submits this job
	if trouble {
		body = strings.TrimSuffix(body, "}") + `,"ID":"` + foreign + `"}`
	}
	var broken []string
	status, answer := 0, ""
	for range 20 {
		if status, answer = r.say(0, "POST", "/submissions", body); status == 200 || status == 201 || status == 400 || status == 422 {
			break
		}
		time.Sleep(time.Second)
	}
	if status != 200 && status != 201 {
		if status == 400 || status == 422 {
			return exitBroken, fmt.Sprintf("a valid submission got %d", status)
		}
		return exitNotRun, "the submission was not answered"
	}
	var receipt struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal([]byte(answer), &receipt)
	if receipt.ID != spec.ID {
		broken = append(broken, fmt.Sprintf("the submission of %s is answered for %s", spec.ID, receipt.ID))
	}
	for range 3 {
		for i := range r.nodes {
			if status, _ := r.say(i, "GET", "/submissions/"+spec.ID, ""); status == 404 {
				broken = append(broken, fmt.Sprintf("forgotten: the accepted job %s gets 404 from %s", spec.ID, r.nodes[i].name))
			}
			if status, _ := r.say(i, "GET", "/submissions/"+foreign, ""); status == 200 {
				broken = append(broken, fmt.Sprintf("invented: %s gets 200 from %s, and nobody submitted it", foreign, r.nodes[i].name))
			}
		}
		time.Sleep(5 * time.Second)
	}
	if len(broken) > 0 {
		return exitBroken, "broken: " + strings.Join(broken, "\n")
	}
	if !r.waitFor(30*time.Second, func() bool {
		_, answer := r.say(1, "GET", "/submissions/"+spec.ID, "")
		return stageOf(answer) == "done"
	}) {
		return exitBroken, "broken: the accepted job was not done within 30 s"
	}
	return exitHeld, "held: the job is known by its id, and it was done"
}
