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

// Jobs submits, reads and cancels jobs. Every error is a *carobkeel.Error.
type Jobs interface {
	Submit(ctx context.Context, entry *carobkeel.Entry) (scheduler.Job, error)
	Get(ctx context.Context, id carobkeel.JobID) (scheduler.Job, error)
	Cancel(ctx context.Context, id carobkeel.JobID) error
}

// Catalogues provides the current catalogue.
type Catalogues interface {
	Catalogue() *carobkeel.Catalogue
}

// Job is the representation of a job in answers to callers.
type Job struct {
	ID    carobkeel.JobID `json:"id"`
	Name  string          `json:"name"`
	Owner carobkeel.Owner `json:"owner"`
	State string          `json:"state"`
	// Reason says why a job is held, has failed or is waiting.
	Reason string `json:"reason,omitempty"`
	// Code is the result code for the reason.
	Code carobkeel.Code `json:"code,omitempty"`
	// Cancelling reports that the job was cancelled and its run has not ended yet.
	Cancelling bool   `json:"cancelling,omitempty"`
	Worker     string `json:"worker,omitempty"`
	Starts     uint64 `json:"starts"`
}

// NewRouter returns a handler for POST /jobs/{name}, GET /jobs/{id} and DELETE
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

// cancel answers 202 once the cancellation is durable. The job's state shows when
// its run has ended.
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

// View converts a job to its representation for callers.
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
