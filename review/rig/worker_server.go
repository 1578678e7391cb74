package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// serve answers direct commands.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || len(body) > maxMessage {
		w.rig.rec.add("%s: a direct command of %d bytes is refused: %.150s...", w.name, len(body), body)
		w.rig.mu.Lock()
		w.rig.noteOversized(len(body))
		w.rig.mu.Unlock()
		reply(rw, 400, `{"error":"malformed"}`)
		return
	}
	w.rig.mu.Lock()
	lag, lost := w.commandLag, !w.alive || w.deaf
	w.rig.mu.Unlock()
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if lag > 0 {
		time.Sleep(lag)
	}
	w.rig.mu.Lock()
	defer w.rig.mu.Unlock()
	if !w.awaitThaw() {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/inspect" {
		reply(rw, 200, string(w.report()))
		return
	}
	var request command
	if json.Unmarshal(body, &request) != nil || request.Baton == nil || request.Shift == nil {
		reply(rw, 400, `{"error":"malformed"}`)
		return
	}
	status := w.carryOut(request, "direct")
	reply(rw, status, string(w.report()))
}

// command is the body of a direct command.
type command struct {
	Baton  *uint64 `json:"baton"`
	Shift  *uint64 `json:"shift"`
	Orders []order `json:"orders"`
}

// carryOut executes a direct command if its token and session match, and returns the status.
func (w *worker) carryOut(request command, how string) int {
	if *request.Baton < w.baton || *request.Shift != w.shift {
		w.rig.rec.add("%s: a command (%s) with baton %d for session %d is refused", w.name, how, *request.Baton, *request.Shift)
		return http.StatusConflict
	}
	w.see(*request.Baton)
	w.execute(request.Orders, how+" baton "+strconv.FormatUint(*request.Baton, 10))
	if slices.ContainsFunc(request.Orders, func(o order) bool { return o.Verb == "start" }) {
		w.carriedOut = append(w.carriedOut, request)
	}
	return http.StatusOK
}

// deliverCopies delivers the direct commands with starts that were carried out once more.
func (w *worker) deliverCopies() {
	w.rig.mu.Lock()
	defer w.rig.mu.Unlock()
	for _, request := range slices.Clone(w.carriedOut) {
		w.rig.rec.add("%s: a late copy of a command that was carried out arrives: baton %d, session %d, %d orders", w.name, *request.Baton, *request.Shift, len(request.Orders))
		w.carryOut(request, "late copy")
	}
}
