package main

import (
	"fmt"
	"io"
	"strings"

	"lovagebank/faker"
)

// usage is the text printed after the assignments.
const usage = `# Evaluate the lines above (set -a first, to export them), then copy:
# curl -N $DEMO_URL_1/v1/chat/completions -H "Authorization: Bearer $DEMO_KEY_CASTANEDA" -d '{"model":"castaneda-parts-0001","messages":[{"role":"user","content":"Is filter 15410 in stock?"}],"max_tokens":16,"stream":true}'
# curl $DEMO_URL_2/services/orders/reorder -H "Authorization: Bearer $DEMO_KEY_CASTANEDA" -H "Idempotency-Key: order-1" -d '4 scooters to Coban'
# curl $DEMO_URL_3/v1/models -H "Authorization: Bearer $DEMO_KEY_INDUS"
# curl $DEMO_CONTROL_URL/control/
# curl $DEMO_CONTROL_URL/control/engine-a-1/fault -d '{"kind":"crash"}'
# curl $DEMO_CONTROL_URL/control/store/fault -d '{"kind":"away","on":true}'
# go run ./cmd/load run --scenario loader/scenarios/day.ini --environment FILE-OF-THESE-LINES
`

// printUsage prints shell assignments that describe the fleet, and commands to copy.
func printUsage(wr io.Writer, op options, pf *faker.Platform) {
	var text strings.Builder
	assign := func(name, value string) { fmt.Fprintf(&text, "%s=%s\n", name, value) }
	for index := range instanceCount {
		instance := instanceOptions(op, index)
		assign(fmt.Sprintf("DEMO_URL_%d", index+1), "http://"+instance.CallerAddress)
		assign(fmt.Sprintf("DEMO_OPERATOR_URL_%d", index+1), "http://"+instance.OperatorAddress)
	}
	assign("DEMO_KEY_CASTANEDA", faker.SampleKey(faker.SampleCastaneda))
	assign("DEMO_KEY_INDUS", faker.SampleKey(faker.SampleIndus))
	assign("DEMO_STORE_URL", pf.StoreURL())
	assign("DEMO_LIST_URL", pf.ListURL())
	assign("DEMO_CONTROL_URL", pf.ControlURL())
	assign("DEMO_OPERATOR_TOKEN", faker.SampleOperatorToken)
	_, _ = fmt.Fprint(wr, text.String(), usage)
}
