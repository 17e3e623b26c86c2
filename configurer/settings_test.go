package configurer

import (
	"os"
	"strings"
	"testing"
	"time"
)

const validSettings = `
# An instance.
[instance]
id = entry-1
failure-domain = a
region = north
failure-domains = c, a, b
[listen]
caller = 127.0.0.1:8080
peer = 127.0.0.1:8081
operator = 127.0.0.1:8082
[platform]
store = http://127.0.0.1:8500
[peers]
seeds = 127.0.0.2:8081, 127.0.0.3:8081
secret = 0123456789abcdef
[limits]
drain-time = 30s
`

func TestReadSettings(t *testing.T) {
	path := t.TempDir() + "/instance.ini"
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	st, err := ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Join(st.FailureDomains(), " ") != "a b c" || st.ListURL() != "http://127.0.0.1:8500" || len(st.Seeds()) != 2 {
		t.Errorf("read %+v", st)
	}
	if st.Limits().DrainTime() != 30*time.Second || st.Limits().Connections() != 4096 || st.LogLevel() != "info" {
		t.Errorf("limits %+v", st.Limits())
	}
}

func TestSettingsFaults(t *testing.T) {
	tests := map[string]struct{ replace, with, want string }{
		"unknown section":     {"[limits]", "[limit]", "s.ini:17: [limit] unknown section; allowed: [instance], [listen],"},
		"unknown key":         {"drain-time", "drain", "s.ini:18: [limits] drain: unknown key; allowed: header-bytes,"},
		"host name":           {"caller = 127.0.0.1", "caller = localhost", `s.ini:9: [listen] caller: bad value "localhost:8080"; allowed: an IP number`},
		"bad duration":        {"30s", "30", `s.ini:18: [limits] drain-time: bad value "30"; allowed: a duration such as 2m, from 1s to 1h0m0s`},
		"missing":             {"region = north", "", "s.ini:3: [instance] region: missing; allowed: letters"},
		"domain not listed":   {"c, a, b", "c, b", "s.ini:7: [instance] failure-domains: must include"},
		"duplicate key":       {"region = north", "id = entry-2", "s.ini:6: [instance] id: stands twice in the section, first in line 4"},
		"short secret":        {"0123456789abcdef", "short", "s.ini:16: [peers] secret: bad value; allowed: at least 16"},
		"no secret":           {"secret = 0123456789abcdef", "", "s.ini:14: [peers] secret: missing; allowed: a secret, or the three tls keys"},
		"key without value":   {"id = entry-1", "id", "s.ini:4: [instance] not understood"},
		"key outside section": {"\n# An instance.", "id = 3", "s.ini:1: a key must stand below"},
		"unclosed section":    {"[instance]", "[instance", "s.ini:3: a section's header must be closed"},
		"same addresses":      {":8081\noperator = 127.0.0.1:8082", ":8080\noperator = 127.0.0.1:8082", "s.ini:8: [listen] caller, peer and operator"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validSettings, tc.replace, tc.with, 1)
			_, err := ParseSettings("s.ini", text)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %s", err, tc.want)
			}
		})
	}
}

func TestSettingsReportsAllFaults(t *testing.T) {
	_, err := ParseSettings("s.ini", "[log]\nlevel = loud\nfile = x\n[other]\n")
	if got := strings.Count(err.Error(), "\n") + 1; got != 11 {
		t.Errorf("%d faults, want 11:\n%v", got, err)
	}
}

// TestReferencePages checks that the reference pages in docs match the descriptions. LOVAGEBANK_UPDATE=1 writes the pages.
func TestReferencePages(t *testing.T) {
	pages := map[string]string{
		"../docs/SETTINGS.md": SettingsReference(),
		"../docs/LISTS.md":    ListsReference(),
	}
	for path, want := range pages {
		if os.Getenv("LOVAGEBANK_UPDATE") == "1" {
			if err := os.WriteFile(path, []byte(want), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		got, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("%s differs; run: LOVAGEBANK_UPDATE=1 go test ./configurer", path)
		}
	}
}
