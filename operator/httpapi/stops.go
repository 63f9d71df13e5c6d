package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// StopBody is the body of a request to plan a stop.
type StopBody struct {
	DataCentre carobkeel.DataCentre `json:"data_centre,omitempty"`
	Rack       string               `json:"rack,omitempty"`
	Host       string               `json:"host,omitempty"`
	// Start is when draining begins; if it is absent, draining begins now.
	Start  time.Time `json:"start,omitzero"`
	Force  bool      `json:"force,omitempty"`
	Reason string    `json:"reason,omitempty"`
}

// StopList is the response to a request for all stops.
type StopList struct {
	Stops []operator.Stop `json:"stops"`
}

func (h *Handler) listStops(w http.ResponseWriter, r *http.Request) {
	stops, err := h.stops.List(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	if stops == nil {
		stops = []operator.Stop{}
	}
	writeJSON(w, http.StatusOK, StopList{Stops: stops})
}

func (h *Handler) planStop(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	var form StopBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil {
		writeError(w, carobkeel.NewError(carobkeel.CodeInvalidRequest, "the body is not a stop: %v", err))
		return
	}
	stop, err := h.stops.Plan(r.Context(), operator.StopRequest{
		ID:     operator.StopID(editID(r)),
		Target: operator.StopTarget{DataCentre: form.DataCentre, Rack: form.Rack, Host: form.Host},
		Start:  form.Start, Forced: form.Force, By: operatorName(r), Reason: form.Reason,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Location", "/v1/stops/"+string(stop.ID))
	writeJSON(w, http.StatusCreated, stop)
}

func (h *Handler) getStop(w http.ResponseWriter, r *http.Request) {
	stop, err := h.stops.Get(r.Context(), operator.StopID(chi.URLParam(r, "id")))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, stop)
}

func (h *Handler) cancelStop(w http.ResponseWriter, r *http.Request) {
	stop, err := h.stops.Cancel(r.Context(), operator.StopID(chi.URLParam(r, "id")), operatorName(r))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, stop)
}

func (h *Handler) getStatus(w http.ResponseWriter, r *http.Request) {
	status, err := h.status.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}
