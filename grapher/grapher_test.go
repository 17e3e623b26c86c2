package grapher

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sample = `time=17:24:06.100 level=info msg=request instance=a id=1 status=200 ms=40 first-ms=20
  12.9043 name time=17:24:06.904 level=info msg=request id=2 status=502 ms=338 first-ms=0 error="no whole answer: unexpected EOF"
time=17:24:06.950 level=info msg=request id=3 status=429 ms=0 reason="the organisation's allowance is used up"
time=17:24:06.960 level=info msg=request id=4 status=503 ms=582 load-wait-ms=582
time=17:24:07.100 level=info msg=order target=t load=true outcome=started
time=17:24:07.200 level=info msg=order target=t load=false outcome=started
time=17:24:09.200 level=info msg=request id=5 status=200 ms=90 first-ms=80
a line of another program
time=17:24:09.300 level=info msg=request id=6 status=many
`

func TestReadAndDraw(t *testing.T) {
	gr := New()
	if err := gr.Read(strings.NewReader(sample)); err != nil {
		t.Fatal(err)
	}
	times := gr.times()
	if len(times) != 3 || gr.Skipped() != 1 {
		t.Fatalf("%d seconds, %d lines skipped", len(times), gr.Skipped())
	}
	first, second := gr.seconds[times[0]], gr.seconds[times[1]]
	if first.served != 1 || first.failed != 1 || first.refused != 2 || len(first.loadWaitsMs) != 1 || second.loads != 1 {
		t.Errorf("got %+v and %+v", first, second)
	}
	if points := gr.points(panels[0].curves[0]); len(points) != 4 || points[2].Y != 0 || points[3].Y != 1 {
		t.Errorf("served: %v", points)
	}
	path := filepath.Join(t.TempDir(), "day.svg")
	if err := gr.Draw(path); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(text), "Wait for adapters") || !strings.Contains(string(text), "</svg>") {
		t.Errorf("unexpected content of the SVG file: %v", err)
	}
}

func TestDrawNothing(t *testing.T) {
	if err := New().Draw(filepath.Join(t.TempDir(), "empty.svg")); err != nil {
		t.Error(err)
	}
}

func TestQuantile(t *testing.T) {
	values := []float64{5, 1, 4, 2, 3}
	if quantile(values, 0.5) != 3 || quantile(values, 0.99) != 5 || quantile(nil, 0.5) != 0 {
		t.Errorf("got %v, %v, %v", quantile(values, 0.5), quantile(values, 0.99), quantile(nil, 0.5))
	}
}
