package receiver

import (
	"net/http"
	"strings"
	"time"
)

// maxIdempotencyKeyBytes is the longest accepted idempotency key, in bytes.
const maxIdempotencyKeyBytes = 255

// forwardedToTarget lists the only headers of a caller that are forwarded to a target.
var forwardedToTarget = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language"}

// targetHeader returns the headers for the target. It drops every header whose value contains the caller's key.
func targetHeader(callerHeader http.Header) http.Header {
	credential := bearerCredential(callerHeader)
	forwarded := make(http.Header)
	for _, name := range forwardedToTarget {
		value := callerHeader.Get(name)
		if value == "" || (credential != "" && strings.Contains(value, credential)) {
			continue
		}
		forwarded.Set(name, value)
	}
	return forwarded
}

// bearerCredential returns the credential of the Authorization header, or "" if there is none.
func bearerCredential(header http.Header) string {
	_, credential, _ := strings.Cut(header.Get("Authorization"), " ")
	return strings.TrimSpace(credential)
}

// singleHeader returns the value of a header, or "" if it is absent. A repeated header is an error.
func singleHeader(header http.Header, name string) (string, error) {
	values := header.Values(name)
	if len(values) > 1 {
		return "", badRequest("the header " + name + " stands twice")
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

// readDeadline returns the request's deadline. A caller may shorten the allowed time but not extend it.
func readDeadline(header http.Header, maxTime time.Duration, now time.Time) (time.Time, error) {
	text, err := singleHeader(header, headerDeadline)
	if err != nil {
		return time.Time{}, err
	}
	if text == "" {
		return now.Add(maxTime), nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 {
		return time.Time{}, badRequest("the header " + headerDeadline + " must be a time such as 1500ms or 30s")
	}
	return now.Add(min(requested, maxTime)), nil
}

func readIdempotencyKey(header http.Header) (string, error) {
	key, err := singleHeader(header, headerIdempotency)
	if err != nil {
		return "", err
	}
	if len(key) > maxIdempotencyKeyBytes {
		return "", badRequest("the header " + headerIdempotency + " is longer than 255 bytes")
	}
	for _, ch := range key {
		if ch <= ' ' || ch > '~' {
			return "", badRequest("the header " + headerIdempotency + " must be printable ASCII without spaces")
		}
	}
	return key, nil
}

// prefersAsync reports whether the Prefer header asks for an asynchronous answer, which the caller polls for.
func prefersAsync(header http.Header) bool {
	for _, value := range header.Values("Prefer") {
		for _, preference := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(preference), "respond-async") {
				return true
			}
		}
	}
	return false
}
