package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"time"
)

func (k *Checker) call(node int, method, path string, body any, wait time.Duration) (int, m) {
	var rd io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		rd = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+k.c.nodes[node].public+path, rd)
	resp, err := k.client.Do(req)
	if err != nil {
		k.c.rec.Log("%s %s at node %d: no answer: %v", method, path, node, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var out m
	json.Unmarshal(data, &out)
	k.c.rec.Log("%s %s at node %d: %d %s", method, path, node, resp.StatusCode, data)
	return resp.StatusCode, out
}

// Add makes a job known to the workers.
func (k *Checker) Add(j *Job) *Job {
	k.mu.Lock()
	defer k.mu.Unlock()
	j.finished = map[int]bool{}
	j.submitted = true
	k.jobs[j.ID] = j
	k.order = append(k.order, j.ID)
	return j
}

// Submit submits a job once and returns the status.
func (k *Checker) Submit(j *Job, node int) int {
	status, out := k.call(node, "POST", "/submissions", j, 5*time.Second)
	if status == 200 || status == 201 {
		k.c.rec.Log("%s is accepted, answer %v", j.ID, out)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch status {
	case 200, 201:
		if j.accepted.IsZero() {
			j.accepted = time.Now()
		}
	case 400, 422:
		if !j.accepted.IsZero() {
			k.c.rec.Broken("forgotten", "repeated submission of %s gets %d", j.ID, status)
		}
	}
	return status
}

// SubmitUntil repeats a submission as a user does, for up to 60 s.
func (k *Checker) SubmitUntil(j *Job) bool {
	end := time.Now().Add(60 * time.Second)
	for time.Now().Before(end) {
		switch k.Submit(j, rand.Intn(len(k.c.nodes))) {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// Cancel cancels a job once and returns the stage in the answer.
func (k *Checker) Cancel(j *Job, node int) string {
	k.mu.Lock()
	if j.asked.IsZero() {
		j.asked = time.Now()
	}
	k.mu.Unlock()
	status, out := k.call(node, "POST", "/submissions/"+j.ID+"/withdraw", nil, 5*time.Second)
	k.mu.Lock()
	defer k.mu.Unlock()
	if status == 404 && !j.accepted.IsZero() {
		k.c.rec.Broken("forgotten", "%s gets 404", j.ID)
	}
	if status != 200 {
		return ""
	}
	stage, _ := out["stage"].(string)
	k.learn(j, stage)
	return stage
}

// learn notes a final stage that a user was told; the caller holds the lock.
func (k *Checker) learn(j *Job, stage string) {
	switch stage {
	case "withdrawn":
		if j.final == "done" {
			k.c.rec.Broken("went_back", "%s was done, is withdrawn", j.ID)
		}
		if j.asked.IsZero() && !k.upstreamAsked(j) {
			k.c.rec.Broken("went_back", "%s is called withdrawn and nobody asked for that", j.ID)
		}
		j.final = stage
		if j.told.IsZero() {
			j.told = time.Now()
		}
	case "done":
		if j.final == "withdrawn" {
			k.c.rec.Broken("went_back", "%s was withdrawn, is done", j.ID)
		}
		if len(j.finished) < j.Pieces {
			k.c.rec.Broken("not_done", "%s is called done with %d of %d tasks", j.ID, len(j.finished), j.Pieces)
		}
		j.final = stage
		if j.doneTold.IsZero() {
			j.doneTold = time.Now()
		}
	}
}

func (k *Checker) upstreamAsked(j *Job) bool {
	for _, d := range j.WaitsOn {
		if dep := k.jobs[d]; dep != nil && (!dep.asked.IsZero() || k.upstreamAsked(dep)) {
			return true
		}
	}
	return false
}

// Poll asks once and judges the answer by what the user knew when asking.
func (k *Checker) Poll(j *Job, node int) string {
	k.mu.Lock()
	wasAccepted, wasFinal := !j.accepted.IsZero(), j.final
	k.mu.Unlock()
	status, out := k.call(node, "GET", "/submissions/"+j.ID, nil, 2*time.Second)
	k.mu.Lock()
	defer k.mu.Unlock()
	stage, _ := out["stage"].(string)
	switch {
	case status == 404 && wasAccepted:
		k.c.rec.Broken("forgotten", "%s gets 404 at node %d", j.ID, node)
	case status == 200:
		j.lastPoll = time.Now()
		if id, _ := out["id"].(string); id != j.ID {
			k.c.rec.Broken("foreign", "asked for %s, got %s", j.ID, id)
		}
		if wasFinal != "" && stage != wasFinal {
			k.c.rec.Broken("went_back", "%s was %s, node %d says %s", j.ID, wasFinal, node, stage)
		}
		if !j.told.IsZero() || j.final != "" || stage == "done" || stage == "withdrawn" {
			if stage == "done" || stage == "withdrawn" {
				k.learn(j, stage)
			}
		}
	}
	return stage
}

func field(data json.RawMessage, name string) string {
	var out m
	json.Unmarshal(data, &out)
	s, _ := out[name].(string)
	return s
}
