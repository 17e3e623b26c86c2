package server

import (
	"context"

	"lovagebank/receiver"
	"lovagebank/requester"
)

func (sv *Server) deferRequest(context.Context, *requester.Request) (string, error) {
	return "", requester.Refuse(requester.CodeNotFound, "Deferral is not offered.", 0)
}

func (sv *Server) lookDeferred(context.Context, string, string) (receiver.Deferred, error) {
	return receiver.Deferred{}, requester.Refuse(requester.CodeNotFound, "There is no such request.", 0)
}
