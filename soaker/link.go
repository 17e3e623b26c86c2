package soaker

import (
	"sync"
	"time"

	"lovagebank/faker"
)

// linkDelay is the delay that a delayed link adds to each chunk of data.
const linkDelay = 80 * time.Millisecond

// link is a proxy in front of one address. It counts overlapping faults: the link is healthy once all of them have
// ended.
type link struct {
	*faker.Link

	mu     sync.Mutex
	faults map[Kind]int
}

func newLink(to string) (*link, error) { return newLinkAt("127.0.0.1:0", to) }

// newLinkAt returns a link that listens at an address.
func newLinkAt(listen, to string) (*link, error) {
	proxy, err := faker.NewLink(listen, to)
	if err != nil {
		return nil, err
	}
	return &link{Link: proxy, faults: make(map[Kind]int)}, nil
}

// inject starts a fault; the returned function ends it.
func (li *link) inject(kind Kind) func() {
	li.adjust(kind, 1)
	return func() { li.adjust(kind, -1) }
}

func (li *link) adjust(kind Kind, by int) {
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
