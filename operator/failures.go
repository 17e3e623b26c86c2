package operator

import (
	"errors"
	"net/http"

	"lovagebank/configurer"
	"lovagebank/publisher"
)

func writeFailure(rw http.ResponseWriter, status int, fa Failure) { writeJSON(rw, status, fa) }

// writeError answers with what a proposal's error means for the operator.
func writeError(rw http.ResponseWriter, err error) {
	var faults configurer.Faults
	var cf *publisher.Conflict
	switch {
	case errors.As(err, &faults):
		writeFailure(rw, http.StatusUnprocessableEntity, failureOfFaults(faults))
	case errors.As(err, &cf):
		writeFailure(rw, http.StatusConflict, Failure{
			Code: CodeConflict, Message: cf.Error(),
			Winner: cf.Winner(), Revision: cf.Revision(), WinningChange: cf.ChangeID(),
		})
	case errors.Is(err, publisher.ErrChangeReused):
		writeFailure(rw, http.StatusConflict, Failure{Code: CodeChangeReused, Message: err.Error()})
	case errors.Is(err, errAlreadyIssued):
		writeFailure(rw, http.StatusConflict, Failure{Code: CodeAlreadyIssued, Message: err.Error()})
	case errors.Is(err, errNoKey):
		writeFailure(rw, http.StatusNotFound, Failure{Code: CodeNotFound, Message: err.Error()})
	case errors.Is(err, publisher.ErrUnknown):
		writeFailure(rw, http.StatusGatewayTimeout, Failure{Code: CodeOutcomeUnknown, Message: publisher.ErrUnknown.Error()})
	case errors.Is(err, publisher.ErrNotAccepted):
		writeFailure(rw, http.StatusServiceUnavailable, Failure{Code: CodeNotAccepted, Message: publisher.ErrNotAccepted.Error()})
	case errors.Is(err, publisher.ErrStoreBehind):
		writeFailure(rw, http.StatusServiceUnavailable, Failure{Code: CodeNotAccepted, Message: err.Error()})
	default:
		writeFailure(rw, http.StatusInternalServerError, Failure{Code: CodeInternal, Message: err.Error()})
	}
}

func failureOfFaults(faults configurer.Faults) Failure {
	fa := Failure{Code: CodeFaults, Message: "the text has faults"}
	for _, found := range faults {
		fa.Faults = append(fa.Faults, Fault{
			Document: found.Document(), Line: found.Line(), Section: found.Section(), Key: found.Key(),
			Message: found.Message(),
		})
	}
	return fa
}
