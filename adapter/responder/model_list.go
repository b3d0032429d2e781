package responder

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/dragonflypass/dragonflypass"
)

// modelList is the JSON response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	// ContextLength is the largest sum of prompt and output tokens.
	ContextLength int `json:"context_length"`
}

func (r *Responder) listModels(w http.ResponseWriter, request *http.Request) {
	account, refusal := r.authenticate(request)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for id, m := range r.Current().Models {
		if account.MayUse(id) {
			list.Data = append(list.Data, newModel(m))
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int { return cmp.Compare(a.ID, b.ID) })
	writeJSON(w, list)
}

func (r *Responder) showModel(w http.ResponseWriter, request *http.Request) {
	account, refusal := r.authenticate(request)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	id := dragonflypass.ModelID(mux.Vars(request)["model"])
	m, ok := r.Current().Models[id]
	if !ok || !account.MayUse(id) {
		r.refuse(w, dragonflypass.Refuse(dragonflypass.ReasonNotFound, 0, "unknown model %q", id))
		return
	}
	writeJSON(w, newModel(m))
}

func newModel(m *dragonflypass.Model) model {
	return model{ID: string(m.ID), Object: "model", OwnedBy: "dragonflypass", ContextLength: m.Limit}
}
