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

// field describes one key of a section: its documentation, and how its value gets into a T.
type field[T any] struct {
	key string
	// allowed says what values are, in the words of the reference page and of error messages.
	allowed string
	// usual is the value where the key is absent; empty for none.
	usual    string
	required bool
	// private keeps the value out of error messages.
	private bool
	doc     string
	set     func(into *T, value string) bool
}

// apply sets the usual values, then those of the block, and reports keys that are unknown, missing or have bad values.
func apply[T any](fields []field[T], into *T, bl *block, fl *faultList) {
	for _, fd := range fields {
		if fd.usual != "" {
			fd.set(into, fd.usual)
		}
	}
	for _, en := range bl.entries {
		at := slices.IndexFunc(fields, func(fd field[T]) bool { return fd.key == en.key })
		if at < 0 {
			fl.add(bl.fault(en.line, en.key, "unknown key; allowed: "+strings.Join(keysOf(fields), ", ")))
			continue
		}
		if !fields[at].set(into, en.value) {
			fl.add(bl.fault(en.line, en.key, fields[at].complaint(en.value)))
		}
	}
	for _, fd := range fields {
		if fd.required && !slices.ContainsFunc(bl.entries, func(en entry) bool { return en.key == fd.key }) {
			fl.add(bl.fault(bl.line, fd.key, "missing; allowed: "+fd.allowed))
		}
	}
}

func (fd *field[T]) complaint(value string) string {
	if fd.private {
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

// longestName bounds the names of organisations, plans, adapters, services, keys and instances.
const longestName = 128

const nameAllowed = "letters, digits, '.', '_' and '-', at most 128, beginning with a letter or digit"

// validName tells whether a name is safe in paths, headers and lists.
func validName(name string) bool {
	if name == "" || len(name) > longestName {
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

// parseList splits a value and checks each part.
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

func parseInt(value string, least, most int64) (int64, bool) {
	number, err := strconv.ParseInt(value, 10, 64)
	return number, err == nil && number >= least && number <= most
}

func parseFloat(value string, least, most float64) (float64, bool) {
	number, err := strconv.ParseFloat(value, 64)
	return number, err == nil && !math.IsNaN(number) && number >= least && number <= most
}

func parseDuration(value string, least, most time.Duration) (time.Duration, bool) {
	duration, err := time.ParseDuration(value)
	return duration, err == nil && duration >= least && duration <= most
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

// validAddress tells whether a value is an IP number with a port.
func validAddress(value string) bool {
	address, err := netip.ParseAddrPort(value)
	return err == nil && address.Addr().Zone() == ""
}

// validURL tells whether a value is an http or https URL whose host is an IP number, without a path.
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
