package operator

import "github.com/carobkeel/carobkeel"

// Explanation says where a job would go if it were submitted now, and why not elsewhere.
type Explanation struct {
	// Name is the queue or the entry of the catalogue.
	Name string `json:"name"`
	// Holder is the process that decides, and AgeSeconds the age of its view.
	Holder     string  `json:"holder"`
	AgeSeconds float64 `json:"age_seconds"`
	// Jobs counts the jobs that have not ended.
	Jobs  int               `json:"jobs"`
	Steps []StepExplanation `json:"steps"`
}

// StepExplanation says where the tasks of a step would go.
type StepExplanation struct {
	Tasks int `json:"tasks"`
	// Placement says in words what would happen to the first task, or to the whole gang, and
	// Hosts where. Victims is how many runs would be stopped for it.
	Placement string   `json:"placement"`
	Hosts     []string `json:"hosts"`
	Victims   int      `json:"victims"`
	// StepsAhead counts the waiting steps that are at least as urgent, and TasksAhead their tasks
	// that wait.
	StepsAhead int `json:"steps_ahead"`
	TasksAhead int `json:"tasks_ahead"`
	// Reasons counts the workers without room by the first reason.
	Reasons map[string]int      `json:"reasons"`
	Workers []WorkerExplanation `json:"workers"`
}

// WorkerExplanation says whether a worker has room for a task.
type WorkerExplanation struct {
	Host string `json:"host"`
	Rack string `json:"rack"`
	// Near reports that the worker is on the rack of the task's data.
	Near bool `json:"near"`
	// Reason is why no task starts there, empty if one could.
	Reason string `json:"reason"`
	// FreeMilliCPU, FreeBytes and Accelerators are what is free on the worker.
	FreeMilliCPU int64 `json:"free_mcpu"`
	FreeBytes    int64 `json:"free_bytes"`
	Accelerators int64 `json:"free_accelerators"`
}

// AddWorker adds a worker and counts its reason.
func (s *StepExplanation) AddWorker(w WorkerExplanation, free carobkeel.Resources) {
	w.FreeMilliCPU, w.FreeBytes, w.Accelerators = free.MilliCPU, free.MemoryBytes, free.Accelerators
	s.Workers = append(s.Workers, w)
	if w.Reason == "" {
		return
	}
	if s.Reasons == nil {
		s.Reasons = make(map[string]int)
	}
	s.Reasons[w.Reason]++
}

// ElsewhereError reports that another process decides. Address is that of its operators'
// interface.
type ElsewhereError struct{ Address string }

// Error implements error.
func (e *ElsewhereError) Error() string { return "the process at " + e.Address + " decides" }
