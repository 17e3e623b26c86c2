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
	// MinSessionTTL is the shortest time to live that the store takes. The store may end a session later than its
	// time to live, never earlier.
	MinSessionTTL = 10 * time.Second
)

type sessionRequest struct {
	Name       string
	TTL        string
	Behavior   string
	LockDelay  string
	NodeChecks []string
}

// CreateSession makes a session that lapses ttl after its last renewal; its locks are then released, not deleted. On
// ErrUnknown a session that nobody knows may exist; it lapses by itself.
func (cl *Client) CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(sessionRequest{name, ttl.String(), "release", "0s", []string{}})
	if err != nil {
		return "", errors.Join(ErrRefused, err)
	}
	an, err := cl.call(ctx, call{operation: OperationSession, method: http.MethodPut, path: sessionCreatePath, body: body})
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := an.decode(&created); err != nil || created.ID == "" {
		return "", errors.Join(ErrUnknown, err)
	}
	return created.ID, nil
}

// RenewSession starts the session's time to live anew. It returns ErrNotFound when the session has lapsed.
func (cl *Client) RenewSession(ctx context.Context, session string) error {
	_, err := cl.call(ctx, call{operation: OperationSession, method: http.MethodPut, path: sessionRenewPath + escape(session)})
	return err
}

// DestroySession ends a session and releases its locks. Ending one that has lapsed is no error.
func (cl *Client) DestroySession(ctx context.Context, session string) error {
	_, err := cl.call(ctx, call{operation: OperationSession, method: http.MethodPut, path: sessionDestroyPath + escape(session)})
	return err
}
