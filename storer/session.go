package storer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

const (
	sessionCreatePath  = "/v1/session/create"
	sessionRenewPath   = "/v1/session/renew/"
	sessionDestroyPath = "/v1/session/destroy/"
	// MinSessionTTL is the shortest time to live that the store accepts. The store may end a session after its time to
	// live has passed, but never before.
	MinSessionTTL = 10 * time.Second
)

type sessionRequest struct {
	Name       string
	TTL        string
	Behavior   string
	LockDelay  string
	NodeChecks []string
}

// CreateSession creates a session that expires ttl after its last renewal and returns its ID. When it expires, its locks
// are released and the locked keys are not deleted. On ErrUnknown, a session whose ID was not received may exist; it
// expires by itself.
func (cl *Client) CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(sessionRequest{name, ttl.String(), "release", "0s", []string{}})
	if err != nil {
		return "", errors.Join(ErrRefused, err)
	}
	rp, err := cl.call(ctx, request{operation: OperationSession, method: http.MethodPut, path: sessionCreatePath, body: body})
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := rp.decode(&created); err != nil || created.ID == "" {
		return "", errors.Join(ErrUnknown, err)
	}
	return created.ID, nil
}

// RenewSession restarts the session's time to live. It returns ErrNotFound if the session has expired.
func (cl *Client) RenewSession(ctx context.Context, session string) error {
	_, err := cl.call(ctx, request{operation: OperationSession, method: http.MethodPut, path: sessionRenewPath + escape(session)})
	return err
}

// DestroySession ends a session and releases its locks. Ending an expired session is not an error.
func (cl *Client) DestroySession(ctx context.Context, session string) error {
	_, err := cl.call(ctx, request{operation: OperationSession, method: http.MethodPut, path: sessionDestroyPath + escape(session)})
	return err
}
