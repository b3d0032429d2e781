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

// recordLimit is the largest record in bytes.
const recordLimit = 8 << 20

// Handler returns the keeper's HTTP interface.
func (k *Keeper) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/faults", k.setFaults).Methods(http.MethodPut)
	platform := router.NewRoute().Subrouter()
	platform.Use(k.fail)
	platform.HandleFunc("/streams/{stream}", k.append).Methods(http.MethodPost)
	platform.HandleFunc("/streams/{stream}", k.read).Methods(http.MethodGet)
	platform.HandleFunc("/vms", k.vms).Methods(http.MethodGet)
	platform.HandleFunc("/vms", k.setVMs).Methods(http.MethodPut)
	platform.HandleFunc("/weights/{model}", k.weights).Methods(http.MethodGet)
	return router
}

// fail breaks the connections while the platform is down.
func (k *Keeper) fail(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k.Down() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (k *Keeper) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, recordLimit))
	if err != nil || !json.Valid(data) {
		http.Error(w, "a record is a JSON value", http.StatusBadRequest)
		return
	}
	offset, answered := k.Append(mux.Vars(r)["stream"], data)
	if !answered {
		panic(http.ErrAbortHandler)
	}
	write(w, http.StatusCreated, appender.Added{Offset: offset})
}

func (k *Keeper) read(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(r.URL.Query().Get("limit"))
	if errFrom != nil || errLimit != nil || limit <= 0 {
		http.Error(w, "from and limit are numbers", http.StatusBadRequest)
		return
	}
	page, kept := k.Read(mux.Vars(r)["stream"], from, limit)
	if !kept {
		write(w, http.StatusGone, page)
		return
	}
	write(w, http.StatusOK, page)
}

func (k *Keeper) vms(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, k.VMs())
}

func (k *Keeper) setVMs(w http.ResponseWriter, r *http.Request) {
	var list lister.List
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetVMs(list)
	w.WriteHeader(http.StatusNoContent)
}

func (k *Keeper) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (k *Keeper) weights(w http.ResponseWriter, r *http.Request) {
	if !k.Weights.Allow() {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	_, _ = io.WriteString(w, "weights of "+mux.Vars(r)["model"])
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
