package httpapi

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/store"
)

const (
	defaultHistory = 100
	maxHistory     = 500
)

// Plan is the response to a dry run.
type Plan struct {
	// Revision is the catalogue revision to which the differences apply.
	Revision    carobkeel.Revision    `json:"revision"`
	Differences []operator.Difference `json:"differences"`
}

// Accepted is the response to an accepted edit of a document.
type Accepted struct {
	Revision    carobkeel.Revision    `json:"revision"`
	Repeated    bool                  `json:"repeated,omitempty"`
	Differences []operator.Difference `json:"differences"`
}

// History is the response to a request for the history of an entry or owner.
type History struct {
	History []Change `json:"history"`
}

// Change is one change in a history.
type Change struct {
	Revision carobkeel.Revision         `json:"revision"`
	At       string                     `json:"at"`
	By       string                     `json:"by"`
	Edit     operator.EditID            `json:"edit"`
	Action   operator.Action            `json:"action"`
	Fields   []operator.FieldDifference `json:"fields"`
}

// load returns the catalogue from the table service. If that fails, it returns
// the newest catalogue that the process has seen and sets LastSeenHeader.
func (h *Handler) load(w http.ResponseWriter, r *http.Request) (*carobkeel.Catalogue, error) {
	c, err := h.catalogue.Load(r.Context())
	if err == nil {
		return c, nil
	}
	seen := h.catalogue.LastSeen()
	if seen == nil {
		return nil, err
	}
	w.Header().Set(LastSeenHeader, "true")
	return seen, nil
}

func (h *Handler) getCatalogue(w http.ResponseWriter, r *http.Request) {
	c, err := h.load(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	data, err := catalogfile.WriteJSON(operator.DocumentFromCatalogue(c))
	if err != nil {
		writeError(w, err)
		return
	}
	writeTagged(w, r, c.Revision, data)
}

func (h *Handler) getItem(w http.ResponseWriter, r *http.Request, res resource) {
	c, err := h.load(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	name := chi.URLParam(r, "name")
	data, revision, found := res.find(c, name)
	if !found {
		writeError(w, carobkeel.NewError(carobkeel.CodeUnknownEntry, "there is no %s %q", res.kind(), name))
		return
	}
	writeTagged(w, r, revision, data)
}

// writeTagged writes a state with its entity tag, or 304 Not Modified if the
// client already has that state.
func writeTagged(w http.ResponseWriter, r *http.Request, revision carobkeel.Revision, data []byte) {
	tag := EntityTag(revision)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeRaw(w, http.StatusOK, data)
}

func (h *Handler) putItem(w http.ResponseWriter, r *http.Request, res resource) {
	expect, err := expectationOf(r)
	if err != nil {
		h.writeEditError(w, r, res, err)
		return
	}
	data, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	item, err := res.read(chi.URLParam(r, "name"), data)
	if err != nil {
		writeError(w, err)
		return
	}
	item.Expect = expect
	h.editItem(w, r, res, item)
}

func (h *Handler) deleteItem(w http.ResponseWriter, r *http.Request, res resource) {
	expect, err := expectationOf(r)
	if err != nil {
		h.writeEditError(w, r, res, err)
		return
	}
	h.editItem(w, r, res, operator.EditItem{Expect: expect})
}

// editItem makes or plans an edit of one item and writes the item's new state.
func (h *Handler) editItem(w http.ResponseWriter, r *http.Request, res resource, item operator.EditItem) {
	item.Kind, item.Name = res.kind(), chi.URLParam(r, "name")
	edit := operator.Edit{ID: editID(r), By: operatorName(r), Items: []operator.EditItem{item}}
	if isDryRun(r) {
		h.writePlan(w, r, edit)
		return
	}
	result, err := h.catalogue.Edit(r.Context(), edit)
	if err != nil {
		h.writeEditError(w, r, res, err)
		return
	}
	if item.Entry == nil && item.Quota == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	h.writeNewState(w, r, res, item.Name, result)
}

func (h *Handler) writeNewState(w http.ResponseWriter, r *http.Request, res resource, name string, result store.Result) {
	status := http.StatusOK
	after := h.catalogue.LastSeen()
	if len(result.Change.Items) == 1 {
		changed, err := operator.Apply(&carobkeel.Catalogue{Revision: result.Revision - 1}, result.Change)
		if err != nil {
			writeError(w, err)
			return
		}
		after = changed
		if result.Change.Items[0].EntryBefore == nil && result.Change.Items[0].QuotaBefore == nil {
			status = http.StatusCreated
		}
	} else if c, err := h.load(w, r); err == nil {
		after = c
	}
	data, revision, found := res.find(after, name)
	if !found {
		// This request repeats an edit whose item was removed by a later edit.
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("ETag", EntityTag(revision))
	writeRaw(w, status, data)
}

// writeEditError writes the error of an edit. For a revision conflict, the
// response includes the current state of the item.
func (h *Handler) writeEditError(w http.ResponseWriter, r *http.Request, res resource, err error) {
	if carobkeel.CodeOf(err) != carobkeel.CodeRevisionConflict {
		writeError(w, err)
		return
	}
	c, loadErr := h.load(w, r)
	if loadErr != nil {
		writeError(w, err)
		return
	}
	data, revision, found := res.find(c, chi.URLParam(r, "name"))
	if !found {
		writeErrorWith(w, err, absentState)
		return
	}
	w.Header().Set("ETag", EntityTag(revision))
	writeErrorWith(w, err, data)
}

func (h *Handler) getHistory(w http.ResponseWriter, r *http.Request, res resource) {
	after, err := queryNumber(r, "after", 0, ^uint64(0))
	if err != nil {
		writeError(w, err)
		return
	}
	limit, err := queryNumber(r, "limit", defaultHistory, maxHistory)
	if err != nil {
		writeError(w, err)
		return
	}
	name := chi.URLParam(r, "name")
	records, err := h.catalogue.History(r.Context(), res.kind(), name, carobkeel.Revision(after), int(limit))
	if err != nil {
		writeError(w, err)
		return
	}
	if len(records) == 0 && after == 0 {
		writeError(w, carobkeel.NewError(carobkeel.CodeUnknownEntry, "there never was a %s %q", res.kind(), name))
		return
	}
	writeJSON(w, http.StatusOK, historyOf(records))
}

func historyOf(records []operator.Record) History {
	history := History{History: []Change{}}
	for _, record := range records {
		difference := record.Item.Difference()
		history.History = append(history.History, Change{
			Revision: record.Revision, At: formatTime(record.At), By: record.By, Edit: record.Edit,
			Action: difference.Action, Fields: difference.Fields,
		})
	}
	return history
}
