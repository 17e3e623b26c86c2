package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/samber/oops"

	"lovagebank/faker"
)

// ControlClient is a client of the control interfaces of the stand-ins: it reads their statistics and switches their faults.
type ControlClient struct {
	// URLs are the base URLs of the control interfaces.
	URLs []string
}

// Stats returns the statistics of all stand-ins by name. It fails if any control interface cannot be read.
func (ct *ControlClient) Stats(ctx context.Context) (map[string]faker.Stats, error) {
	all := map[string]faker.Stats{}
	for _, url := range ct.URLs {
		rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/control/stats", http.NoBody)
		if err != nil {
			return nil, oops.In("loader").Wrap(err)
		}
		answer, err := http.DefaultClient.Do(rq)
		if err != nil {
			return nil, oops.In("loader").Wrapf(err, "read stand-in statistics")
		}
		err = json.NewDecoder(answer.Body).Decode(&all)
		_ = answer.Body.Close()
		if err != nil {
			return nil, oops.In("loader").Wrapf(err, "read stand-in statistics")
		}
	}
	return all, nil
}

// SwitchFault applies a fault at the first control interface that accepts it. The error is that of the last refusal, or of
// the first interface that cannot be reached.
func (ct *ControlClient) SwitchFault(ctx context.Context, event FaultEvent) error {
	body, err := json.Marshal(event.fault())
	if err != nil {
		return oops.In("loader").Wrap(err)
	}
	refused := fmt.Errorf("no control interface configured")
	for _, url := range ct.URLs {
		target := url + "/control/" + event.Standin + "/fault"
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
		if err != nil {
			return oops.In("loader").Wrap(err)
		}
		answer, err := http.DefaultClient.Do(rq)
		if err != nil {
			return oops.In("loader").Wrapf(err, "switch fault")
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusNoContent {
			return nil
		}
		refused = fmt.Errorf("%s refused fault %s of %s: %s", url, event.Kind, event.Standin, answer.Status)
	}
	return oops.In("loader").Wrap(refused)
}

// sumRuns returns the number of runs over all workers by organisation and idempotency key.
func sumRuns(counts map[string]faker.Stats) map[string]int {
	sum := map[string]int{}
	for _, stats := range counts {
		if stats.Worker == nil {
			continue
		}
		for key, count := range stats.Worker.Runs {
			sum[key] += count
		}
	}
	return sum
}
