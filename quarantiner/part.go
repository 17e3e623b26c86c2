package quarantiner

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of prompts within a service.
type Part uint64

// PartOf returns the identity of a part of prompts to a service.
func PartOf(service, id string) Part { return Part(xxhash.Sum64String(service + "\x00" + id)) }

// NamedPart is a part with its name for logs.
type NamedPart struct {
	Part Part
	// Name is the part's ID in prompts; empty if it is not known.
	Name string
}

// Verdict refuses requests whose prompts have all of its parts. It has several parts while evidence does not tell which of them
// crashes targets, as all requests that crashed targets had all of them.
type Verdict struct {
	// Parts are sorted by identity.
	Parts []NamedPart
	// Since is the time of the first crash that counted for the verdict. At is the time of the verdict.
	Since time.Time
	At    time.Time
	// RefusedAt is when an instance last refused a request by the verdict.
	RefusedAt time.Time
	// Probes is the number of requests that have been let through to test the verdict.
	Probes int
}

// Key identifies the verdict's set of parts, as 16 hexadecimal digits.
func (ve Verdict) Key() string {
	di := xxhash.New()
	for _, np := range ve.Parts {
		_, _ = di.Write(binaryPart(np.Part))
	}
	return hex.EncodeToString(di.Sum(nil))
}

// String returns the names of the parts for logs.
func (ve Verdict) String() string {
	names := make([]string, 0, len(ve.Parts))
	for _, np := range ve.Parts {
		if np.Name == "" {
			np.Name = hex.EncodeToString(binaryPart(np.Part))
		}
		names = append(names, np.Name)
	}
	return strings.Join(names, "+")
}

func binaryPart(pt Part) []byte {
	text := make([]byte, 0, 8)
	for shift := 56; shift >= 0; shift -= 8 {
		text = append(text, byte(pt>>shift))
	}
	return text
}

// covers reports whether a prompt with the given parts has all parts of the verdict.
func (ve Verdict) covers(parts []Part) bool {
	for _, np := range ve.Parts {
		if !slices.Contains(parts, np.Part) {
			return false
		}
	}
	return true
}

// without returns the verdict without some of its parts.
func (ve Verdict) without(drop func(Part) bool) Verdict {
	ve.Parts = slices.DeleteFunc(slices.Clone(ve.Parts), func(np NamedPart) bool { return drop(np.Part) })
	return ve
}

// split returns one verdict for each part.
func (ve Verdict) split() []Verdict {
	verdicts := make([]Verdict, 0, len(ve.Parts))
	for _, np := range ve.Parts {
		single := ve
		single.Parts = []NamedPart{np}
		verdicts = append(verdicts, single)
	}
	return verdicts
}
