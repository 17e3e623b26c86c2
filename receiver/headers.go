package receiver

import (
	"net/http"
	"strings"
	"time"
)

const maxIdempotencyKey = 255

// forwardedHeaders are the only headers of a caller that a target may get.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language"}

// targetHeader returns the headers for the target. A header that carries the key stays behind, whatever its name.
func targetHeader(from http.Header) http.Header {
	credential := bearer(from)
	to := make(http.Header)
	for _, name := range forwardedHeaders {
		value := from.Get(name)
		if value == "" || (credential != "" && strings.Contains(value, credential)) {
			continue
		}
		to.Set(name, value)
	}
	return to
}

func bearer(header http.Header) string {
	_, credential, _ := strings.Cut(header.Get("Authorization"), " ")
	return strings.TrimSpace(credential)
}

// single returns a header that may stand at most once.
func single(header http.Header, name string) (string, error) {
	values := header.Values(name)
	if len(values) > 1 {
		return "", badRequest("the header " + name + " stands twice")
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

// readDeadline returns the time by which an answer is due. The caller may shorten the allowed time, not extend it.
func readDeadline(header http.Header, allowed time.Duration, now time.Time) (time.Time, error) {
	text, err := single(header, headerDeadline)
	if err != nil {
		return time.Time{}, err
	}
	if text == "" {
		return now.Add(allowed), nil
	}
	asked, err := time.ParseDuration(text)
	if err != nil || asked <= 0 {
		return time.Time{}, badRequest("the header " + headerDeadline + " must be a time such as 1500ms or 30s")
	}
	return now.Add(min(asked, allowed)), nil
}

func readIdempotencyKey(header http.Header) (string, error) {
	key, err := single(header, headerIdempotency)
	if err != nil {
		return "", err
	}
	if len(key) > maxIdempotencyKey {
		return "", badRequest("the header " + headerIdempotency + " is longer than 255 bytes")
	}
	for _, ch := range key {
		if ch <= ' ' || ch > '~' {
			return "", badRequest("the header " + headerIdempotency + " must be printable ASCII without spaces")
		}
	}
	return key, nil
}

// wantsDeferral tells whether the caller prefers to poll for the answer.
func wantsDeferral(header http.Header) bool {
	for _, value := range header.Values("Prefer") {
		for _, preference := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(preference), "respond-async") {
				return true
			}
		}
	}
	return false
}
