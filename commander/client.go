package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"lovagebank/operator"
)

const (
	// sendAttempts is how often a request goes out before its outcome counts as unknown. A change is idempotent by its
	// change id.
	sendAttempts = 3
	sendPause    = 300 * time.Millisecond
	sendTimeout  = 45 * time.Second
)

// connection is how the operators' commands reach an instance.
type connection struct {
	Instances []string `long:"instance" value-name:"URL" env:"LOVAGEBANK_INSTANCE" env-delim:"," description:"An instance's operator interface, such as http://10.0.0.5:8082; may be given several times, the next one is tried when one is away."`
	TokenFile string   `long:"token-file" value-name:"FILE" env:"LOVAGEBANK_TOKEN_FILE" description:"The file that holds the operator's token. Without it, the token is taken from LOVAGEBANK_TOKEN."`
	JSON      bool     `long:"json" description:"Print JSON."`

	streams streams
}

// requestError is an answer other than success, or none.
type requestError struct {
	failure operator.Failure
}

// Error returns the failure's message, with a line for each fault.
func (re *requestError) Error() string {
	lines := make([]string, 0, 1+len(re.failure.Faults))
	lines = append(lines, re.failure.Message)
	for _, fa := range re.failure.Faults {
		line := fmt.Sprintf("%s:%d: [%s] ", fa.Document, fa.Line, fa.Section)
		if fa.Key != "" {
			line += fa.Key + ": "
		}
		lines = append(lines, line+fa.Message)
	}
	return strings.Join(lines, "\n")
}

// exitCode tells scripts what the failure means.
func (re *requestError) exitCode() int {
	switch re.failure.Code {
	case operator.CodeFaults:
		return ExitFaults
	case operator.CodeConflict, operator.CodeChangeReused, operator.CodeAlreadyIssued:
		return ExitConflict
	case operator.CodeOutcomeUnknown:
		return ExitOutcomeUnknown
	default:
		return ExitFailed
	}
}

func (cn *connection) token() (string, error) {
	if cn.TokenFile == "" {
		if token := os.Getenv("LOVAGEBANK_TOKEN"); token != "" {
			return token, nil
		}
		return "", errors.New("no token: set LOVAGEBANK_TOKEN or --token-file")
	}
	content, err := os.ReadFile(cn.TokenFile)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(content)), nil
}

// send calls an instance and reads its answer. A change must carry a change id, since it may go out more than once.
func (cn *connection) send(method, path string, body, into any) error {
	if len(cn.Instances) == 0 {
		return errors.New("no instance: set LOVAGEBANK_INSTANCE or --instance")
	}
	token, err := cn.token()
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	unsure := false
	for attempt := range sendAttempts {
		instance := cn.Instances[attempt%len(cn.Instances)]
		var again bool
		if again, err = sendOnce(ctx, method, instance+path, token, encoded, into); !again {
			return err
		}
		unsure = unsure || !refusedConnection(err)
		time.Sleep(sendPause)
	}
	if unsure && method != http.MethodGet {
		return &requestError{operator.Failure{Code: operator.CodeOutcomeUnknown, Message: fmt.Sprintf(
			"unknown whether the change was accepted (%v); send it again with the same --change-id", err)}}
	}
	return err
}

// refusedConnection tells that a request never left.
func refusedConnection(err error) bool {
	var re *requestError
	if errors.As(err, &re) {
		return re.failure.Code == operator.CodeNotAccepted
	}
	return strings.Contains(err.Error(), "connection refused")
}

// sendOnce sends a request once; again is true when another attempt may help.
func sendOnce(ctx context.Context, method, url, token string, body []byte, into any) (again bool, err error) {
	rq, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	rq.Header.Set("Authorization", "Bearer "+token)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return true, err
	}
	defer func() { _ = rs.Body.Close() }()
	content, err := io.ReadAll(rs.Body)
	if err != nil {
		return true, err
	}
	if rs.StatusCode == http.StatusOK {
		return false, json.Unmarshal(content, into)
	}
	re := &requestError{}
	if err := json.Unmarshal(content, &re.failure); err != nil || re.failure.Message == "" {
		re.failure = operator.Failure{Code: operator.CodeInternal, Message: "unexpected answer " + rs.Status}
	}
	return rs.StatusCode == http.StatusServiceUnavailable || rs.StatusCode == http.StatusGatewayTimeout, re
}

// printJSON prints a value in the form of --json.
func (cn *connection) printJSON(value any) error {
	encoder := json.NewEncoder(cn.streams.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printf prints a line for people.
func (cn *connection) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(cn.streams.out, format, values...)
}
