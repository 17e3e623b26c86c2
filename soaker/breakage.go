package soaker

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/oops"
)

// breakage is a deliberate fault of the program: in one file, a text that stands there once is replaced.
type breakage struct {
	name string
	file string
	old  string
	new  string
	// caught is the promise that it breaks.
	caught string
}

// WriteBreakages lists the deliberate faults.
func WriteBreakages(wr io.Writer) {
	for _, br := range breakages {
		_, _ = fmt.Fprintf(wr, "%-24s %s: %s\n", br.name, br.file, br.caught)
	}
}

// WriteOverlay writes a changed file into a folder, and returns the overlay with which to build it into the program. It runs
// at the module's root.
func WriteOverlay(name, folder string) (string, error) {
	for _, br := range breakages {
		if br.name == name {
			return br.write(folder)
		}
	}
	return "", oops.Errorf("no deliberate fault is called %s", name)
}

type overlay struct {
	Replace map[string]string
}

func (br breakage) write(folder string) (string, error) {
	text, err := os.ReadFile(br.file)
	if err != nil {
		return "", err
	}
	if strings.Count(string(text), br.old) != 1 {
		return "", oops.Errorf("%s: the text to replace doesn't stand once in %s", br.name, br.file)
	}
	path := filepath.Join(folder, br.name+".go")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), br.old, br.new, 1)), 0o600); err != nil {
		return "", err
	}
	original, err := filepath.Abs(br.file)
	if err != nil {
		return "", err
	}
	list, err := json.Marshal(overlay{Replace: map[string]string{original: path}})
	if err != nil {
		return "", err
	}
	index := filepath.Join(folder, "overlay.json")
	return index, os.WriteFile(index, list, 0o600)
}
