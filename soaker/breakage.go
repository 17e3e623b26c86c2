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

// breakage is a deliberate fault of the program: it replaces a text that occurs exactly once in one source file.
type breakage struct {
	name string
	file string
	old  string
	new  string
	// promise is the promise that the fault breaks and whose check detects it.
	promise string
}

// WriteBreakages writes the name, file and broken promise of each deliberate fault, one per line. It ignores
// write errors.
func WriteBreakages(wr io.Writer) {
	for _, br := range breakages {
		_, _ = fmt.Fprintf(wr, "%-24s %s: %s\n", br.name, br.file, br.promise)
	}
}

// WriteOverlay writes the changed source file of the named fault and an overlay file into a folder. It returns the path of
// the overlay, for the -overlay flag of go build. The working directory must be the root of the module. It returns an
// error if the name is unknown, if the text to replace does not occur exactly once, or if a file operation fails.
func WriteOverlay(name, folder string) (string, error) {
	for _, br := range breakages {
		if br.name == name {
			return br.write(folder)
		}
	}
	return "", oops.Errorf("unknown deliberate fault: %s", name)
}

// overlay is the JSON file that the -overlay flag of go build reads.
type overlay struct {
	Replace map[string]string
}

func (br breakage) write(folder string) (string, error) {
	text, err := os.ReadFile(br.file)
	if err != nil {
		return "", err
	}
	if strings.Count(string(text), br.old) != 1 {
		return "", oops.Errorf("%s: the text to replace must occur exactly once in %s", br.name, br.file)
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
