package configurer

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

func TestSetKey(t *testing.T) {
	const text = "# plans\n[plan a]\nrate = 1\n\n[plan  b]\n# of b\nrate = 2\n"
	tests := map[string]struct{ header, key, value, want string }{
		"change":      {"plan a", "rate", "9", "# plans\n[plan a]\nrate = 9\n\n[plan  b]\n# of b\nrate = 2\n"},
		"add":         {"plan a", "burst", "9", "# plans\n[plan a]\nrate = 1\nburst = 9\n\n[plan  b]\n# of b\nrate = 2\n"},
		"remove":      {"plan b", "rate", "", "# plans\n[plan a]\nrate = 1\n\n[plan  b]\n# of b\n"},
		"new section": {"plan c", "rate", "3", text + "\n[plan c]\nrate = 3\n"},
		"absent":      {"plan c", "rate", "", text},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := SetKey(text, tc.header, tc.key, tc.value); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
	if got, found := RemoveSection(text, "plan a"); !found || got != "# plans\n[plan  b]\n# of b\nrate = 2\n" {
		t.Errorf("removed: %q", got)
	}
}

func TestAddAndWithdrawKey(t *testing.T) {
	text := AddKey("", "k-1", "castaneda", [32]byte{1}, time.Time{})
	text = AddKey(text, "k-2", "indus", [32]byte{2}, time.Unix(2e9, 0))
	text, found := WithdrawKey(text, "k-1")
	if again, _ := WithdrawKey(text, "k-1"); !found || again != text {
		t.Errorf("withdrawn twice: %q", again)
	}
	sn, err := NewSnapshot(1, NewDocuments(validPlans, validUses, text))
	if err != nil {
		t.Fatal(err)
	}
	keys := sn.Keys()
	if len(keys) != 2 || !keys[0].Withdrawn() || keys[1].Withdrawn() || keys[1].Expires().Unix() != 2e9 {
		t.Errorf("keys %+v", keys)
	}
}

func TestPruneKeys(t *testing.T) {
	text := ""
	for at := range 5 {
		id := fmt.Sprint("k-", at)
		text = AddKey(text, id, "castaneda", [32]byte{byte(at)}, time.Time{})
		if at != 1 {
			text, _ = WithdrawKey(text, id)
		}
	}
	tests := map[string]struct {
		keep int
		want string
	}{
		"all":  {4, "k-0 k-1 k-2 k-3 k-4"},
		"some": {2, "k-1 k-3 k-4"},
		"none": {0, "k-1"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sn, err := NewSnapshot(1, NewDocuments(validPlans, validUses, PruneKeys(text, tc.keep)))
			if err != nil {
				t.Fatal(err)
			}
			var ids []string
			for _, ke := range sn.Keys() {
				ids = append(ids, ke.ID())
			}
			if got := strings.Join(ids, " "); got != tc.want {
				t.Errorf("got %s", got)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	after := strings.Replace(strings.Replace(validUses, "rate = 10\n", "rate = 20\n", 1), "[service orders]", "# none", 1)
	var lines []string
	for _, sd := range Diff(validUses, after+"[service stock]\nopen = true\n") {
		lines = append(lines, fmt.Sprint(sd.Action(), " ", sd.Header(), sd.Removed(), sd.Added()))
	}
	want := "changed plan branch[rate = 10] [rate = 20]; removed service orders[] []; added service stock[] [open = true]"
	if got := strings.Join(lines, "; "); got != want {
		t.Errorf("got %s", got)
	}
}

func TestCheckFilesAcceptsSingleList(t *testing.T) {
	path := t.TempDir() + "/uses.ini"
	if err := os.WriteFile(path, []byte(validUses), 0o600); err != nil {
		t.Fatal(err)
	}
	if faults, err := CheckFiles("", "", path, ""); err != nil || len(faults) != 0 {
		t.Errorf("faults %v, %v", faults, err)
	}
}

func FuzzNewSnapshot(f *testing.F) {
	f.Add(validPlans, validUses, validKeys)
	f.Add("[organisation a]\nplan=\"\"\"", "[plan `x`]\n=\n", "\ufeff[key ]\r\n-=1\n")
	f.Fuzz(func(t *testing.T, plans, uses, keys string) {
		do := NewDocuments(plans, uses, keys)
		sn, err := NewSnapshot(1, do)
		if err != nil {
			return
		}
		next, err := sn.Next(2, do)
		if err != nil || len(Compare(sn, next).Differences()) != 0 {
			t.Errorf("the same lists differ: %v", err)
		}
	})
}

func FuzzParseSettings(f *testing.F) {
	f.Add(validSettings)
	f.Add("[instance]\nid=`\n[listen]\ncaller=\"\"\"x\n")
	f.Fuzz(func(t *testing.T, text string) {
		if st, err := ParseSettings("s.ini", text); (st == nil) == (err == nil) {
			t.Errorf("settings %v with error %v", st, err)
		}
	})
}

// FuzzSetKey checks that editing a key of one section leaves all other sections unchanged.
func FuzzSetKey(f *testing.F) {
	f.Add(validUses, "plan dealer", "rate", "7")
	f.Fuzz(func(t *testing.T, text, header, key, value string) {
		if !validName(strings.ReplaceAll(header, " ", "")) || !validName(key) || key == "-" || !validName(value) {
			return
		}
		header = strings.Join(strings.Fields(header), " ")
		var fl faultList
		readSections("", text, &fl, func(*section) {})
		if len(fl.faults) > 0 || hasDuplicateSection(text) {
			return
		}
		for _, sd := range Diff(text, SetKey(text, header, key, value)) {
			if sd.Header() != header {
				t.Errorf("section %q differs: -%v +%v", sd.Header(), sd.Removed(), sd.Added())
			}
		}
	})
}

// hasDuplicateSection reports whether a section occurs twice in a text, a fault that readSections does not report.
func hasDuplicateSection(text string) bool {
	seen := make(map[string]bool)
	twice := false
	var fl faultList
	readSections("", text, &fl, func(se *section) {
		twice = twice || seen[se.header]
		seen[se.header] = true
	})
	return twice
}
