package loader

import (
	"path/filepath"
	"testing"
)

func TestScenarioFilesAreAccepted(t *testing.T) {
	paths, err := filepath.Glob("scenarios/*.ini")
	if err != nil || len(paths) == 0 {
		t.Fatalf("found %v: %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			sc, err := ReadScenario(path, Environment{})
			if err != nil {
				t.Fatal(err)
			}
			if len(sc.Arrivals()) == 0 {
				t.Error("the scenario has no arrivals")
			}
		})
	}
}
