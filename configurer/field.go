package configurer

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field describes one key of a section: its documentation and how its value is stored in a T.
type field[T any] struct {
	key string
	// allowed describes the allowed values, on the reference page and in error messages.
	allowed string
	// defaultValue is the value if the key is absent; empty for none.
	defaultValue string
	required     bool
	// sensitive keeps the value out of error messages.
	sensitive bool
	doc       string
	set       func(into *T, value string) bool
}

// apply sets the default values, then the values of the section, and reports keys that are unknown, missing or have
// invalid values.
func apply[T any](fields []field[T], into *T, se *section, fl *faultList) {
	for _, fd := range fields {
		if fd.defaultValue != "" {
			fd.set(into, fd.defaultValue)
		}
	}
	for _, en := range se.entries {
		at := slices.IndexFunc(fields, func(fd field[T]) bool { return fd.key == en.key })
		if at < 0 {
			fl.add(se.fault(en.line, en.key, "unknown key; allowed: "+strings.Join(keysOf(fields), ", ")))
			continue
		}
		if !fields[at].set(into, en.value) {
			fl.add(se.fault(en.line, en.key, fields[at].invalidValueMessage(en.value)))
		}
	}
	for _, fd := range fields {
		if fd.required && !slices.ContainsFunc(se.entries, func(en entry) bool { return en.key == fd.key }) {
			fl.add(se.fault(se.line, fd.key, "missing; allowed: "+fd.allowed))
		}
	}
}

func (fd *field[T]) invalidValueMessage(value string) string {
	if fd.sensitive {
		return "bad value; allowed: " + fd.allowed
	}
	return fmt.Sprintf("bad value %q; allowed: %s", value, fd.allowed)
}

func keysOf[T any](fields []field[T]) []string {
	keys := make([]string, len(fields))
	for at, fd := range fields {
		keys[at] = fd.key
	}
	return keys
}

// maxNameLength limits the names of organisations, plans, adapters, services, keys and instances, in bytes.
const maxNameLength = 128

const nameAllowed = "letters, digits, '.', '_' and '-', at most 128, beginning with a letter or digit"

// validName reports whether a name is safe in paths, headers and lists.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for at, ch := range []byte(name) {
		letter := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9'
		if !letter && (at == 0 || !strings.ContainsRune("._-", rune(ch))) {
			return false
		}
	}
	return true
}

// splitList splits a comma-separated value; an empty value is an empty list.
func splitList(value string) []string {
	if value == "" {
		return nil
	}
	parts := strings.Split(value, ",")
	for at, part := range parts {
		parts[at] = strings.TrimSpace(part)
	}
	return parts
}

// parseList splits a value and checks each part. Duplicates are invalid.
func parseList(value string, valid func(string) bool) ([]string, bool) {
	parts := splitList(value)
	for at, part := range parts {
		if !valid(part) || slices.Contains(parts[:at], part) {
			return nil, false
		}
	}
	return parts, true
}

func parseBool(value string) (result, ok bool) {
	switch value {
	case "true":
		return true, true
	case "false":
		return false, true
	default:
		return false, false
	}
}

func parseInt(value string, minimum, maximum int64) (int64, bool) {
	number, err := strconv.ParseInt(value, 10, 64)
	return number, err == nil && number >= minimum && number <= maximum
}

func parseFloat(value string, minimum, maximum float64) (float64, bool) {
	number, err := strconv.ParseFloat(value, 64)
	return number, err == nil && !math.IsNaN(number) && number >= minimum && number <= maximum
}

func parseDuration(value string, minimum, maximum time.Duration) (time.Duration, bool) {
	duration, err := time.ParseDuration(value)
	return duration, err == nil && duration >= minimum && duration <= maximum
}

func parseTime(value string) (time.Time, bool) {
	moment, err := time.Parse(time.RFC3339, value)
	return moment, err == nil && moment.Unix() > 0
}

func parseHash(value string) (hash [32]byte, ok bool) {
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != len(hash) {
		return hash, false
	}
	return [32]byte(raw), true
}

// validAddress reports whether a value is an IP address with a port and without a zone.
func validAddress(value string) bool {
	address, err := netip.ParseAddrPort(value)
	return err == nil && address.Addr().Zone() == ""
}

// validURL reports whether a value is an http or https URL that consists of an IP address and a port, without a path.
func validURL(value string) bool {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.User != nil {
		return false
	}
	if parsed.RawQuery != "" || parsed.Fragment != "" || strings.Trim(parsed.Path, "/") != "" {
		return false
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		return false
	}
	return parsed.Port() != ""
}
