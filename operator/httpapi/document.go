package httpapi

import (
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
)

// applyDocument applies a document as one edit.
func (h *Handler) applyDocument(w http.ResponseWriter, r *http.Request) {
	base, err := baseOf(r)
	if err != nil {
		writeError(w, err)
		return
	}
	edit, err := readEdit(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	edit.Base = base
	if isDryRun(r) {
		h.writePlan(w, r, edit)
		return
	}
	result, err := h.catalogue.Edit(r.Context(), edit)
	if err != nil {
		h.writeDocumentError(w, r, err)
		return
	}
	w.Header().Set("ETag", EntityTag(result.Revision))
	writeJSON(w, http.StatusOK, Accepted{
		Revision: result.Revision, Repeated: result.Repeated, Differences: result.Change.Differences(),
	})
}

// validateDocument writes the differences that a document would make. It changes
// nothing.
func (h *Handler) validateDocument(w http.ResponseWriter, r *http.Request) {
	edit, err := readEdit(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	h.writePlan(w, r, edit)
}

func readEdit(w http.ResponseWriter, r *http.Request) (operator.Edit, error) {
	data, err := readBody(w, r)
	if err != nil {
		return operator.Edit{}, err
	}
	doc, err := catalogfile.Read(data)
	return operator.EditFromDocument(doc, editID(r), operatorName(r)), err
}

func (h *Handler) writePlan(w http.ResponseWriter, r *http.Request, edit operator.Edit) {
	change, err := h.catalogue.Plan(r.Context(), edit)
	if err != nil {
		h.writeDocumentError(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, Plan{Revision: change.Revision - 1, Differences: change.Differences()})
}

// writeDocumentError writes the error of an edit. For a revision conflict, the
// response includes the current catalogue.
func (h *Handler) writeDocumentError(w http.ResponseWriter, r *http.Request, err error) {
	if carobkeel.CodeOf(err) != carobkeel.CodeRevisionConflict {
		writeError(w, err)
		return
	}
	c, loadErr := h.load(w, r)
	if loadErr != nil {
		writeError(w, err)
		return
	}
	data, writeErr := catalogfile.WriteJSON(operator.DocumentFromCatalogue(c))
	if writeErr != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", EntityTag(c.Revision))
	writeErrorWith(w, err, data)
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }
