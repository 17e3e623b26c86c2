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

// ControlClient reads the stand-ins' counts and switches their faults over their control interfaces.
type ControlClient struct {
	// URLs are the base URLs of the control interfaces.
	URLs []string
}

// Stats returns the counts of all stand-ins by their names.
func (ct *ControlClient) Stats(ctx context.Context) (map[string]faker.Stats, error) {
	all := map[string]faker.Stats{}
	for _, url := range ct.URLs {
		rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/control/stats", http.NoBody)
		if err != nil {
			return nil, oops.In("loader").Wrap(err)
		}
		answer, err := http.DefaultClient.Do(rq)
		if err != nil {
			return nil, oops.In("loader").Wrapf(err, "read counts")
		}
		err = json.NewDecoder(answer.Body).Decode(&all)
		_ = answer.Body.Close()
		if err != nil {
			return nil, oops.In("loader").Wrapf(err, "read counts")
		}
	}
	return all, nil
}

// SwitchFault switches a fault at the control interface that knows the stand-in.
func (ct *ControlClient) SwitchFault(ctx context.Context, event FaultEvent) error {
	body, err := json.Marshal(event.fault())
	if err != nil {
		return oops.In("loader").Wrap(err)
	}
	refused := fmt.Errorf("no control interface")
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

// runs sums the workers' runs by organisation and idempotency key.
func runs(counts map[string]faker.Stats) map[string]int {
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
