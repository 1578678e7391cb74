package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["unknown-field"] = playUnknownField }

// foreignJob is a job that nobody submits.
const foreignJob = "run-000900"

// playUnknownField submits a job whose description has one more field, which PROTOCOL does not
// know: the user's own "ID". The fields that PROTOCOL knows are all there.
func playUnknownField(r *rig, trouble bool) (int, string) {
	if problem := r.begin(); problem != "" {
		return exitNotRun, problem
	}
	if status, _ := r.submit(newJob(1, "sweep", 1, 1, 1), 30*time.Second); status != http.StatusCreated {
		return exitNotRun, "the first job was not accepted"
	}
	spec := newJob(101, "sweep", 2, 1, 1)
	r.upload(spec)
	body := encode(spec)
	if trouble {
		body = strings.TrimSuffix(body, "}") + `,"ID":"` + foreignJob + `"}`
	}
	status, answer := r.submitBody(body)
	switch status {
	case http.StatusOK, http.StatusCreated:
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return exitBroken, fmt.Sprintf("broken: a valid submission got %d", status)
	default:
		return exitNotRun, "the submission was not answered"
	}
	var receipt struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal([]byte(answer), &receipt)
	var broken []string
	if receipt.ID != spec.ID {
		broken = append(broken, fmt.Sprintf("the submission of %s is answered for %s", spec.ID, receipt.ID))
	}
	broken = append(broken, r.askEverywhere(spec.ID)...)
	if len(broken) > 0 {
		return exitBroken, "broken: " + strings.Join(broken, "\n")
	}
	done := r.waitFor(30*time.Second, func() bool {
		_, answer := r.say(1, "GET", "/submissions/"+spec.ID, "")
		return stageOf(answer) == "done"
	})
	if !done {
		return exitBroken, "broken: the accepted job was not done within 30 s"
	}
	return exitHeld, "held: the job is known by its id, and it was done"
}

// submitBody sends a submission until it is accepted or refused.
func (r *rig) submitBody(body string) (status int, answer string) {
	for range 20 {
		status, answer = r.say(0, "POST", "/submissions", body)
		switch status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return status, answer
		}
		time.Sleep(time.Second)
	}
	return status, answer
}

// askEverywhere asks all controllers, three times, about an accepted job and about the one that
// nobody submitted, and returns the rules that the answers break.
func (r *rig) askEverywhere(accepted string) (broken []string) {
	for range 3 {
		for i := range r.nodes {
			if status, _ := r.say(i, "GET", "/submissions/"+accepted, ""); status == http.StatusNotFound {
				broken = append(broken, fmt.Sprintf("forgotten: the accepted job %s gets 404 from %s", accepted, r.nodes[i].name))
			}
			if status, _ := r.say(i, "GET", "/submissions/"+foreignJob, ""); status == http.StatusOK {
				broken = append(broken, fmt.Sprintf("invented: %s gets 200 from %s, and nobody submitted it", foreignJob, r.nodes[i].name))
			}
		}
		time.Sleep(5 * time.Second)
	}
	return broken
}
