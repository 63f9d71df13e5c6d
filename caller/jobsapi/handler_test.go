package jobsapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
)

type catalogue struct{ current *carobkeel.Catalogue }

func (c catalogue) Catalogue() *carobkeel.Catalogue { return c.current }

type fakeJobs map[carobkeel.JobID]*scheduler.Job

func (f fakeJobs) Submit(_ context.Context, entry *carobkeel.Entry) (scheduler.Job, error) {
	job, err := scheduler.NewJob("s.1", entry)
	f[job.ID] = &job
	return job, err
}

func (f fakeJobs) Get(_ context.Context, id carobkeel.JobID) (scheduler.Job, error) {
	if job, ok := f[id]; ok {
		return *job, nil
	}
	return scheduler.Job{}, carobkeel.NewError(carobkeel.CodeUnknownJob, "there is no job %s", id)
}

func (f fakeJobs) Cancel(_ context.Context, id carobkeel.JobID) error {
	f[id].State = scheduler.StateCancelled
	return nil
}

func TestRoutes(t *testing.T) {
	var entries *carobkeel.Catalogue
	entries = entries.With(1, carobkeel.Entry{
		Name: "sample", Owner: "o", Class: carobkeel.ClassBatch, Demand: carobkeel.Resources{MilliCPU: 1},
	}).With(2, carobkeel.Entry{Name: "echo", Class: carobkeel.ClassLatencyCritical})
	jobs := fakeJobs{"s.done": {ID: "s.done", State: scheduler.StateSucceeded}}
	router := NewRouter(catalogue{entries}, jobs)
	for _, c := range []struct {
		method, path string
		status       int
		state        string
	}{
		{http.MethodPost, "/jobs/none", http.StatusNotFound, ""},
		{http.MethodPost, "/jobs/echo", http.StatusBadRequest, ""},
		{http.MethodPost, "/jobs/sample", http.StatusAccepted, "queued"},
		{http.MethodGet, "/jobs/s.1", http.StatusOK, "queued"},
		{http.MethodGet, "/jobs/s.2", http.StatusNotFound, ""},
		{http.MethodDelete, "/jobs/s.1", http.StatusAccepted, "queued"},
		{http.MethodGet, "/jobs/s.1", http.StatusOK, "cancelled"},
		{http.MethodDelete, "/jobs/s.1", http.StatusAccepted, "cancelled"},
		{http.MethodDelete, "/jobs/s.done", http.StatusConflict, ""},
	} {
		g := NewWithT(t)
		recorder := httptest.NewRecorder()
		router.ServeHTTP(recorder, httptest.NewRequest(c.method, c.path, http.NoBody))
		g.Expect(recorder.Code).To(Equal(c.status), "%s %s: %s", c.method, c.path, recorder.Body)
		if c.state != "" {
			var job Job
			g.Expect(json.Unmarshal(recorder.Body.Bytes(), &job)).To(Succeed())
			g.Expect(job.State).To(Equal(c.state), "%s %s", c.method, c.path)
		}
	}
}
