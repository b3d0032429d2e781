package keeper

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/dragonflypass/dragonflypass/adapter/appender"
	"github.com/dragonflypass/dragonflypass/adapter/lister"
)

// maxRecordBytes is the largest size of a record in bytes.
const maxRecordBytes = 8 << 20

// Handler returns the keeper's HTTP interface.
func (k *Keeper) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/faults", k.serveSetFaults).Methods(http.MethodPut)
	platform := router.NewRoute().Subrouter()
	platform.Use(k.abortWhileDown)
	platform.HandleFunc("/streams/{stream}", k.serveAppend).Methods(http.MethodPost)
	platform.HandleFunc("/streams/{stream}", k.serveRead).Methods(http.MethodGet)
	platform.HandleFunc("/vms", k.serveVMs).Methods(http.MethodGet)
	platform.HandleFunc("/vms", k.serveSetVMs).Methods(http.MethodPut)
	platform.HandleFunc("/weights/{model}", k.serveWeights).Methods(http.MethodGet)
	return router
}

// abortWhileDown closes the connection of each call while the platform is down.
func (k *Keeper) abortWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k.Down() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (k *Keeper) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || !json.Valid(data) {
		http.Error(w, "the record is too large or not valid JSON", http.StatusBadRequest)
		return
	}
	offset, respond := k.Append(mux.Vars(r)["stream"], data)
	if !respond {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, appender.AppendResponse{Offset: offset})
}

func (k *Keeper) serveRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(r.URL.Query().Get("limit"))
	if errFrom != nil || errLimit != nil || limit <= 0 {
		http.Error(w, "from and limit must be numbers, limit above zero", http.StatusBadRequest)
		return
	}
	page, retained := k.Read(mux.Vars(r)["stream"], from, limit)
	if !retained {
		writeJSON(w, http.StatusGone, page)
		return
	}
	writeJSON(w, http.StatusOK, page)
}

func (k *Keeper) serveVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, k.VMs())
}

func (k *Keeper) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var list lister.List
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetVMs(list)
	w.WriteHeader(http.StatusNoContent)
}

func (k *Keeper) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (k *Keeper) serveWeights(w http.ResponseWriter, r *http.Request) {
	if !k.Weights.Allow() {
		http.Error(w, "read rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	_, _ = io.WriteString(w, "weights of "+mux.Vars(r)["model"])
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
