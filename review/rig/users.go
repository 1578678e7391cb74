package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// jobSpec is a job as its user knows it.
type jobSpec struct {
	ID      string   `json:"id"`
	Lane    string   `json:"lane"`
	Crew    string   `json:"crew"`
	Shape   string   `json:"shape"`
	Rank    string   `json:"rank"`
	Pieces  int      `json:"pieces"`
	CPUs    float64  `json:"vcpus"`
	GPUs    float64  `json:"gpus"`
	RAM     float64  `json:"ramGb"`
	Bundle  string   `json:"bundle"`
	Size    float64  `json:"sizeGb"`
	Builds  []string `json:"builds"`
	Yard    *string  `json:"yard"`
	Same    bool     `json:"together"`
	Spread  bool     `json:"spread"`
	Loaner  bool     `json:"loaner"`
	Guess   float64  `json:"guessS"`
	Mark    float64  `json:"markS"`
	Stash   float64  `json:"stashS"`
	Due     *float64 `json:"dueS"`
	WaitsOn []string `json:"waitsOn,omitempty"`

	runS float64 // real run time of a task
}

func newJob(number int, shape string, pieces int, cpus, runS float64) *jobSpec {
	return &jobSpec{
		ID: fmt.Sprintf("run-%06d", number), Lane: "digest-build", Crew: teams[number%len(teams)].name, Shape: shape, Rank: "normal",
		Pieces: pieces, CPUs: cpus, RAM: 2 * cpus, Bundle: fmt.Sprintf("img-%d", number%3), Size: 0.2, Loaner: true, Guess: runS, runS: runS,
	}
}

var userClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ask sends one request of a user to a controller; the status is 0 if there is no answer.
func (r *rig) ask(i int, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+r.nodes[i].public+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := userClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// say is ask, written to the record.
func (r *rig) say(i int, method, path, body string) (int, string) {
	status, answer := r.ask(i, method, path, body)
	r.rec.add("user -> %s: %s %s %s: %d %s", r.nodes[i].name, method, path, body, status, answer)
	return status, answer
}

// stageOf returns the stage in an answer.
func stageOf(answer string) string {
	var body struct {
		Stage string `json:"stage"`
	}
	_ = json.Unmarshal([]byte(answer), &body)
	return body.Stage
}

// upload makes a job known to the workers, as its user does before the submission.
func (r *rig) upload(spec *jobSpec) {
	r.mu.Lock()
	r.jobs[spec.ID] = spec
	r.mu.Unlock()
}

// submit submits a job until it is accepted or the time is over; it tries the given controllers in turn.
func (r *rig) submit(spec *jobSpec, limit time.Duration, nodes ...int) (int, string) {
	r.upload(spec)
	body := encode(spec)
	r.check.submitted(spec)
	return r.repeat(limit, nodes, func(i int) (int, string) { return r.say(i, "POST", "/submissions", body) }, func(status int) bool {
		return status == 201 || status == 200 || status == 400 || status == 422
	}, func(status int, _ string) {
		if status == 201 || status == 200 {
			r.check.accepted(spec.ID)
		}
	})
}

// cancel cancels a job until it is answered.
func (r *rig) cancel(id string, limit time.Duration, nodes ...int) (int, string) {
	r.check.cancelAsked(id)
	return r.repeat(limit, nodes, func(i int) (int, string) { return r.say(i, "POST", "/submissions/"+id+"/withdraw", "") },
		func(status int) bool { return status == 200 },
		func(status int, answer string) {
			if status == 200 {
				r.check.told(id, stageOf(answer))
			}
		})
}

func (r *rig) repeat(limit time.Duration, nodes []int, send func(int) (int, string), final func(int) bool, seen func(int, string)) (int, string) {
	if len(nodes) == 0 {
		for i := range r.nodes {
			nodes = append(nodes, i)
		}
	}
	end := time.Now().Add(limit)
	for k := 0; ; k++ {
		status, answer := send(nodes[k%len(nodes)])
		if final(status) || time.Now().After(end) {
			seen(status, answer)
			return status, answer
		}
		time.Sleep(time.Second)
	}
}

// waitReady waits until a controller can take requests.
func (r *rig) waitReady(limit time.Duration, nodes ...int) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := 0
		for _, i := range nodes {
			if status, _ := r.ask(i, "GET", "/healthz", ""); status == 200 {
				ready++
			}
		}
		if ready == len(nodes) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// begin starts all controllers and waits until they are healthy.
func (r *rig) begin() (problem string) {
	if err := r.startAll(); err != nil {
		return err.Error()
	}
	return r.awaitHealth()
}

// awaitHealth waits until the first three controllers are healthy; with more, one says that it is
// not as long as it answers most of the workers.
func (r *rig) awaitHealth() (problem string) {
	if !r.waitReady(20*time.Second, 0, 1, 2) {
		return "the controllers did not become healthy"
	}
	return ""
}
