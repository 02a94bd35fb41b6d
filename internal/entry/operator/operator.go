// Package operator implements the HTTP interface for operators. Operators plan and
// confirm changes of the configuration, issue and withdraw keys, and read the state
// of the whole system.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/record/credential"
)

// maxDocumentBytes bounds the size of a request body.
const maxDocumentBytes = 64 << 20

// Planner makes plans for changes of the configuration and puts them in force.
type Planner interface {
	Plan(ctx context.Context, d *configuration.Document) (configuration.Plan, error)
	Confirm(ctx context.Context, id string) (int64, error)
}

// Keys issues and withdraws keys.
type Keys interface {
	// Issue creates a key for the customer. The secret is not stored and cannot be
	// read again.
	Issue(ctx context.Context, customer quetzalhook.CustomerID) (id quetzalhook.KeyID, secret string, err error)
	// Withdraw withdraws a key. It returns whether the withdrawal is stored and
	// which hosts have not confirmed it yet.
	Withdraw(ctx context.Context, id quetzalhook.KeyID) (persisted bool, missed []quetzalhook.HostID, err error)
}

// Deps holds the dependencies of a Server.
type Deps struct {
	Key      string // the key that operators authenticate with
	Planner  Planner
	Keys     Keys
	Document func() *configuration.Document
	Status   func(ctx context.Context) Status
	// Settle records the operator's confirmation that the process that wrote an
	// open intent, a stored order whose outcome is not known, sends nothing more.
	Settle func(ctx context.Context, role, intent string) error
	Vars   http.Handler // serves the metrics
}

// Server is the HTTP handler for operators.
type Server struct {
	deps Deps
	mux  *http.ServeMux
}

// New returns a server.
func New(deps Deps) *Server {
	s := &Server{deps: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /operator/plans", s.plan)
	s.mux.HandleFunc("POST /operator/plans/{id}/confirm", s.confirm)
	s.mux.HandleFunc("POST /operator/keys", s.issue)
	s.mux.HandleFunc("POST /operator/keys/{id}/withdraw", s.withdraw)
	s.mux.HandleFunc("POST /operator/roles/{role}/intents/{id}/settle", s.settle)
	s.mux.HandleFunc("GET /operator/status", s.status)
	s.mux.Handle("GET /debug/vars", deps.Vars)
	s.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	s.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	s.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return s
}

// ServeHTTP implements http.Handler. Every request must carry the operator key.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if subtle.ConstantTimeCompare([]byte(key), []byte(s.deps.Key)) != 1 {
		writeError(w, http.StatusUnauthorized, "operator-key", errors.New("the operator key is missing or wrong"))
		return
	}
	s.mux.ServeHTTP(w, r)
}

// PlanBody is the response to a configuration document that was planned.
type PlanBody struct {
	ID         string   `json:"id"`
	Base       int64    `json:"base"`
	Difference []string `json:"difference"`
}

// ConfirmBody is the response to the confirmation of a plan.
type ConfirmBody struct {
	Version int64 `json:"version"`
}

// KeyRequest is the request to issue a key.
type KeyRequest struct {
	Customer quetzalhook.CustomerID `json:"customer"`
}

// KeyBody is the response to a KeyRequest.
type KeyBody struct {
	ID       quetzalhook.KeyID      `json:"id"`
	Customer quetzalhook.CustomerID `json:"customer"`
	Secret   string                 `json:"secret"`
}

// WithdrawBody is the response to the withdrawal of a key.
type WithdrawBody struct {
	// Persisted reports that the withdrawal is stored. Otherwise hosts keep trying
	// to store it.
	Persisted bool `json:"persisted"`
	// Missed lists the hosts that have not confirmed the withdrawal yet.
	Missed []quetzalhook.HostID `json:"missed,omitempty"`
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Kind     string   `json:"kind"`
	Message  string   `json:"message"`
	Mistakes []string `json:"mistakes,omitempty"`
}

func (s *Server) plan(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "document-too-large", err)
		return
	}
	doc, err := configuration.Parse(data)
	if err != nil {
		writeError(w, http.StatusUnprocessableEntity, "document-invalid", err)
		return
	}
	plan, err := s.deps.Planner.Plan(r.Context(), doc)
	if err != nil {
		writeError(w, httpStatus(err), errorKind(err), err)
		return
	}
	writeJSON(w, http.StatusCreated, PlanBody{ID: plan.ID, Base: plan.Base, Difference: plan.Difference})
}

func (s *Server) confirm(w http.ResponseWriter, r *http.Request) {
	version, err := s.deps.Planner.Confirm(r.Context(), r.PathValue("id"))
	if err != nil {
		writeError(w, httpStatus(err), errorKind(err), err)
		return
	}
	writeJSON(w, http.StatusOK, ConfirmBody{Version: version})
}

func (s *Server) issue(w http.ResponseWriter, r *http.Request) {
	var req KeyRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err)
		return
	}
	if doc := s.deps.Document(); doc != nil {
		if _, ok := doc.Customer(req.Customer); !ok {
			writeError(w, http.StatusNotFound, "unknown-customer", errors.Errorf("customer %q is not in the configuration in force", req.Customer))
			return
		}
	}
	id, secret, err := s.deps.Keys.Issue(r.Context(), req.Customer)
	if err != nil {
		writeError(w, httpStatus(err), errorKind(err), err)
		return
	}
	writeJSON(w, http.StatusCreated, KeyBody{ID: id, Customer: req.Customer, Secret: secret})
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	persisted, missed, err := s.deps.Keys.Withdraw(r.Context(), quetzalhook.KeyID(r.PathValue("id")))
	if err != nil {
		writeError(w, httpStatus(err), errorKind(err), err)
		return
	}
	writeJSON(w, http.StatusOK, WithdrawBody{Persisted: persisted, Missed: missed})
}

func (s *Server) settle(w http.ResponseWriter, r *http.Request) {
	if err := s.deps.Settle(r.Context(), r.PathValue("role"), r.PathValue("id")); err != nil {
		writeError(w, httpStatus(err), errorKind(err), err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.deps.Status(r.Context()))
}

// errorKind returns the kind of an error for ErrorBody.
func errorKind(err error) string {
	var document *configuration.Error
	if errors.As(err, &document) {
		return string(document.Kind)
	}
	var key *credential.Error
	if errors.As(err, &key) {
		return string(key.Kind)
	}
	if kind := quetzalhook.StoreKind(err, ""); kind != "" {
		return string(kind)
	}
	return "internal"
}

var statusByKind = map[string]int{
	string(configuration.ErrorConflict):  http.StatusConflict,
	string(configuration.ErrorInvalid):   http.StatusUnprocessableEntity,
	string(quetzalhook.StoreNotFound):    http.StatusNotFound,
	string(quetzalhook.StoreUnavailable): http.StatusServiceUnavailable,
	string(quetzalhook.StoreRateLimited): http.StatusServiceUnavailable,
}

// httpStatus returns the HTTP status for an error.
func httpStatus(err error) int {
	if status, ok := statusByKind[errorKind(err)]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func writeError(w http.ResponseWriter, status int, kind string, err error) {
	body := ErrorBody{Kind: kind, Message: err.Error()}
	var mistakes interface{ Mistakes() []string }
	if errors.As(err, &mistakes) {
		body.Mistakes = mistakes.Mistakes()
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
