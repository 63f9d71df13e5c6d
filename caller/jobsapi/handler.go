// Package jobsapi is the HTTP interface for jobs.
package jobsapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/httpapi"
	"github.com/carobkeel/carobkeel/scheduler"
)

// Jobs takes and finds jobs. Every error is a *carobkeel.Error.
type Jobs interface {
	Submit(ctx context.Context, entry *carobkeel.Entry) (scheduler.Job, error)
	Get(ctx context.Context, id carobkeel.JobID) (scheduler.Job, error)
	Cancel(ctx context.Context, id carobkeel.JobID) error
}

// Catalogues gives the catalogue that is in force.
type Catalogues interface {
	Catalogue() *carobkeel.Catalogue
}

// Job is a job as callers see it.
type Job struct {
	ID    carobkeel.JobID `json:"id"`
	Name  string          `json:"name"`
	Owner carobkeel.Owner `json:"owner"`
	State string          `json:"state"`
	// Reason says why a job is held, failed or waits.
	Reason string `json:"reason,omitempty"`
	// Code is the result code that belongs to the reason.
	Code carobkeel.Code `json:"code,omitempty"`
	// Cancelling says that the job was cancelled and its copy has not ended.
	Cancelling bool   `json:"cancelling,omitempty"`
	Worker     string `json:"worker,omitempty"`
	Starts     uint64 `json:"starts"`
}

// NewRouter returns the routes of jobs: POST /jobs/{name}, GET and DELETE
// /jobs/{id}.
func NewRouter(catalogues Catalogues, jobs Jobs) http.Handler {
	h := &handler{catalogues: catalogues, jobs: jobs}
	router := chi.NewRouter()
	router.Post("/jobs/{name}", h.submit)
	router.Get("/jobs/{id}", h.get)
	router.Delete("/jobs/{id}", h.cancel)
	return router
}

type handler struct {
	catalogues Catalogues
	jobs       Jobs
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "name")
	entry, ok := h.catalogues.Catalogue().Lookup(name)
	if !ok {
		refuse(w, carobkeel.NewError(carobkeel.CodeUnknownEntry, "the catalogue has no entry %q", name))
		return
	}
	job, err := h.jobs.Submit(r.Context(), entry)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Location", "/jobs/"+string(job.ID))
	answer(w, http.StatusAccepted, job)
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	job, err := h.jobs.Get(r.Context(), carobkeel.JobID(chi.URLParam(r, "id")))
	if err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusOK, job)
}

// cancel answers 202: the cancellation is durable, and the job's state tells
// when its copy has ended.
func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	id := carobkeel.JobID(chi.URLParam(r, "id"))
	job, err := h.jobs.Get(r.Context(), id)
	if err == nil && job.State.IsFinal() && job.State != scheduler.StateCancelled {
		err = carobkeel.NewError(carobkeel.CodeJobFinished, "job %s has %s", id, job.State)
	}
	if err == nil && job.State != scheduler.StateCancelled {
		err = h.jobs.Cancel(r.Context(), id)
		job.Cancelling = true
	}
	if err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusAccepted, job)
}

func refuse(w http.ResponseWriter, err error) {
	httpapi.WriteProblem(w, carobkeel.RequestID{}, carobkeel.AsError(err))
}

func answer(w http.ResponseWriter, status int, job scheduler.Job) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(httpapi.ResultHeader, strconv.Itoa(int(carobkeel.CodeOK)))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(View(job))
}

// View returns a job as callers see it.
func View(job scheduler.Job) Job {
	state := job.State.Public()
	if job.State == scheduler.StateEvicted && job.Checkpoint == "" {
		state = scheduler.StateQueued.String()
	}
	return Job{
		ID: job.ID, Name: job.Entry, Owner: job.Owner, State: state, Reason: job.Reason, Code: job.Code,
		Cancelling: job.Cancelling && !job.State.IsFinal(), Worker: string(job.Worker), Starts: job.Run,
	}
}
