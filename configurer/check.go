package configurer

import (
	"errors"
	"os"
)

// CheckFiles checks a settings file and the files of the operators' lists without contacting anything. An empty path
// leaves that document out; the lists given are checked against each other. Faults name the files. The error tells of a file
// that cannot be read.
func CheckFiles(settings, plans, uses, keys string) (Faults, error) {
	var found Faults
	if settings != "" {
		_, err := ReadSettings(settings)
		if err != nil && !errors.As(err, &found) {
			return nil, err
		}
	}
	paths := map[string]string{DocumentPlans: plans, DocumentUses: uses, DocumentKeys: keys}
	sb := newBuilder(0, EmptySnapshot())
	do := Documents{}
	for _, name := range DocumentNames() {
		if paths[name] == "" {
			sb.absent = append(sb.absent, name)
			continue
		}
		content, err := os.ReadFile(paths[name])
		if err != nil {
			return nil, err
		}
		do = do.With(name, string(content))
	}
	sb.read(do)
	for _, fa := range sb.fl.faults {
		fa.document = paths[fa.document]
		found = append(found, fa)
	}
	return found, nil
}
