package soaker

import (
	"sync"
	"time"

	"lovagebank/faker"
)

// linkDelay is how much a delayed link holds back each piece of data.
const linkDelay = 80 * time.Millisecond

// link is a proxy before one address. Faults that overlap count: a link is healthy once all have ended.
type link struct {
	*faker.Link

	mu     sync.Mutex
	faults map[Kind]int
}

func newLink(to string) (*link, error) {
	proxy, err := faker.NewLink("127.0.0.1:0", to)
	if err != nil {
		return nil, err
	}
	return &link{Link: proxy, faults: make(map[Kind]int)}, nil
}

// strike begins a fault; the returned function ends it.
func (li *link) strike(kind Kind) func() {
	li.count(kind, 1)
	return func() { li.count(kind, -1) }
}

func (li *link) count(kind Kind, by int) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.faults[kind] += by
	delay := time.Duration(0)
	if li.faults[KindLinkDelay] > 0 {
		delay = linkDelay
	}
	silent := li.faults[KindLinkSilent] > 0
	li.SetDelay(delay)
	li.SetReset(li.faults[KindLinkReset] > 0)
	li.SetDropping(silent || li.faults[KindCutRequests] > 0, silent || li.faults[KindCutAnswers] > 0)
}
