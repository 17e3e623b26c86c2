package emulator

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call holds the parameters of one caller request.
type Call struct {
	// Path is the path of one of the sample routes.
	Path string
	ID   string
	Key  string
	// Adapter is empty for requests to plain services.
	Adapter string
	// Parts are the IDs of the parts of the prompt that other requests share.
	Parts []string
	// PartTokens is the length of each of them and OwnTokens that of the rest of the prompt, in tokens; 0 selects 100
	// and 50, without a header that states the whole length.
	PartTokens int
	OwnTokens  int
	// Deadline is the maximum wait that the caller announces; it is sent in milliseconds.
	Deadline time.Duration
	// Tokens is the length of the prompt and that of the longest answer; zero for none.
	Tokens [2]int
	// ReadPause is the time between two reads of 64 bytes of the response; 0 for a caller that reads at once.
	ReadPause time.Duration
	// LastEvent is the ID of the last event of a stream that is taken up again, and Resumes the ID of the request that
	// brought its first event; empty for a new stream.
	LastEvent string
	Resumes   string
	// UploadBytes is the least length of the request's body.
	UploadBytes int
	// Framed, if not nil, is set to whether the answer had a length or chunks.
	Framed *bool
}

// Send sends the call to an instance and returns the status and the body of the response. If the connection breaks before
// the end of the response, the status is 0, the error gives the cause, and the body is what has arrived.
func (ca Call) Send(ctx context.Context, client *http.Client, address string) (status int, text string, err error) {
	text = "body of " + ca.ID
	text += strings.Repeat(".", max(ca.UploadBytes-len(text), 0))
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ca.Path, strings.NewReader(text))
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
	if ca.Tokens != [2]int{} {
		rq.Header.Set("Token-Counts", strconv.Itoa(ca.Tokens[0])+","+strconv.Itoa(ca.Tokens[1]))
	}
	if len(ca.Parts) > 0 {
		rq.Header.Set("Prompt-Prefix", ca.promptPrefix())
	}
	if ca.PartTokens > 0 {
		rq.Header.Set("Token-Counts", strconv.Itoa(len(ca.Parts)*ca.partTokens()+ca.ownTokens())+",50")
	}
	if ca.LastEvent != "" {
		rq.Header.Set("Last-Event-Id", ca.LastEvent)
		rq.Header.Set("Resumes", ca.Resumes)
	}
	rs, err := client.Do(rq)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = rs.Body.Close() }()
	if ca.Framed != nil {
		*ca.Framed = rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0
	}
	body, err := ca.read(rs.Body)
	if err != nil {
		return 0, string(body), err
	}
	return rs.StatusCode, string(body), nil
}

// SendOld sends the call on a connection of its own in HTTP/1.0, which knows no chunks. It returns what Send does.
func (ca Call) SendOld(ctx context.Context, address string) (status int, text string, err error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", address)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	body := "body of " + ca.ID
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\nRequest-Id: %s\r\nX-Api-Key: %s\r\nDeadline-Ms: %d\r\nModel-Name: %s/%s\r\nContent-Length: %d\r\n\r\n%s",
		ca.Path, Host, ca.ID, ca.Key, ca.Deadline.Milliseconds(), Model, ca.Adapter, len(body), body)
	if err != nil {
		return 0, "", err
	}
	rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = rs.Body.Close() }()
	read, err := io.ReadAll(rs.Body)
	if err != nil {
		return 0, string(read), err
	}
	return rs.StatusCode, string(read), nil
}

// read reads a response as fast as the caller does.
func (ca Call) read(rd io.Reader) ([]byte, error) {
	if ca.ReadPause == 0 {
		return io.ReadAll(rd)
	}
	const readSize = 64
	var body []byte
	piece := make([]byte, readSize)
	for {
		count, err := rd.Read(piece)
		body = append(body, piece[:count]...)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		time.Sleep(ca.ReadPause)
	}
}

// LastEvent returns the ID of the last whole event of a stream, and the stream up to the end of that event; empty if
// there is none.
func LastEvent(stream string) (id, whole string) {
	end := strings.LastIndex(stream, "\n\n")
	if end < 0 {
		return "", ""
	}
	whole = stream[:end+2]
	for line := range strings.Lines(whole) {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id = strings.TrimSpace(text)
		}
	}
	return id, whole
}

// promptPrefix returns the parts of the prompt as ID:TOKENS, with one of the request's own at the end.
func (ca Call) promptPrefix() string {
	var text strings.Builder
	for _, id := range ca.Parts {
		text.WriteString(id + ":" + strconv.Itoa(ca.partTokens()) + ",")
	}
	return text.String() + ca.ID + ":" + strconv.Itoa(ca.ownTokens())
}

func (ca Call) partTokens() int {
	const fallback = 100
	return cmp.Or(ca.PartTokens, fallback)
}

func (ca Call) ownTokens() int {
	const fallback = 50
	return cmp.Or(ca.OwnTokens, fallback)
}
