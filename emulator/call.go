package emulator

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one request of a caller.
type Call struct {
	// Path is that of one of the sample routes.
	Path string
	ID   string
	Key  string
	// Adapter is empty for requests to plain services.
	Adapter string
	// Deadline is how long the caller says that it waits.
	Deadline time.Duration
}

// Send sends the call to an instance and returns the answer's status and text. Status 0 stands for a connection that
// broke before the end of the answer; the error tells why.
func (ca Call) Send(ctx context.Context, client *http.Client, address string) (status int, text string, err error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ca.Path, strings.NewReader("body of "+ca.ID))
	if err != nil {
		return 0, "", err
	}
	rq.Host = Host
	rq.Header.Set("Request-Id", ca.ID)
	rq.Header.Set("X-Api-Key", ca.Key)
	rq.Header.Set("Deadline-Ms", strconv.FormatInt(ca.Deadline.Milliseconds(), 10))
	if ca.Adapter != "" {
		rq.Header.Set("Model-Name", Model+"/"+ca.Adapter)
	}
	rs, err := client.Do(rq)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		return 0, "", err
	}
	return rs.StatusCode, string(body), nil
}
