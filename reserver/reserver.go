// Package reserver keeps the budget of bytes that callers' connections and requests may hold in memory. Memory is reserved
// before it is allocated. When the budget is short, the holder with the least recent progress is shed. The package does no
// I/O: a holder is shed by calling its function.
package reserver

import (
	"math"
	"sync"
	"time"
)

// Class is a kind of use of the budget. Each class has a limit of its own.
type Class int

// The classes. Bodies that have not arrived whole cannot take the part of the budget that exceeds their limit.
const (
	// Connections are open connections, with the goroutine, the buffers and the header of each.
	Connections Class = iota
	// Bodies are request bodies that have not arrived whole.
	Bodies
	// Requests are the bodies of complete requests in progress.
	Requests
	// Responses are responses that wait for their callers to read them.
	Responses
	// Answers are the parts of targets' answers that have to arrive whole before they are used: heads, events and reports.
	Answers
	classCount
)

// String returns the name of the class in metrics.
func (cl Class) String() string {
	return [classCount]string{"connections", "bodies", "requests", "responses", "answers"}[cl]
}

// Options configures a Reserver.
type Options struct {
	// Total is the number of bytes of all classes together; 0 for no limit at all.
	Total int64
	// Limits are the bytes of each class. Their sum may exceed the total.
	Limits [classCount]int64
	// SmallBody is the size up to which a body may use all of the limit of its class; larger ones leave an eighth of it.
	SmallBody int64
}

// The shares of the memory limit. Besides what is reserved, the process needs memory for its code (about 20 MB), for its own
// state, for garbage that is not collected yet (about as much again as the reserved memory at the peak), and for
// the kernel's socket buffers. Measured at 144 MB: docs/design/client-memory.md.
const (
	totalShare      = 0.34
	connectionShare = 0.12
	bodyShare       = 0.12
	requestShare    = 0.14
	responseShare   = 0.10
	answerShare     = 0.06
	// smallBody is the size up to which bodies may use the last part of their class: prompts of ordinary length.
	smallBody = 256 << 10
)

// ForMemory returns the options for a process with the given memory limit in bytes. The limit of a class is at least least, the
// memory that a single request at the configured limits needs.
func ForMemory(limit, least int64) Options {
	share := func(ratio float64) int64 { return int64(float64(limit) * ratio) }
	return Options{
		Total: max(share(totalShare), 2*least),
		Limits: [classCount]int64{
			Connections: share(connectionShare),
			Bodies:      max(share(bodyShare), least),
			Requests:    max(share(requestShare), least),
			Responses:   share(responseShare),
			Answers:     max(share(answerShare), least),
		},
		SmallBody: smallBody,
	}
}

const (
	// rateWindow is the time constant of the decayed rate of a transfer.
	rateWindow = 500 * time.Millisecond
	// stalledAfter is how long a transfer has to be without a byte to be shed in favour of any other. It is longer than a
	// retransmission of TCP takes, and a holder is not shed in its first stalledAfter either.
	stalledAfter = 300 * time.Millisecond
)

// Reserver keeps one budget. It is safe for concurrent use.
type Reserver struct {
	op Options

	mu    sync.Mutex
	used  [classCount]int64
	total int64
	peak  int64
	// shedding is the number of bytes of holders that have been shed and have not released them yet.
	shedding int64
	holders  map[*Holder]bool
	// freed is closed and replaced when bytes are released while a holder is waiting for them.
	freed   chan struct{}
	waiting bool
	refused [classCount]int64
	shed    [classCount]int64
}

// New returns a Reserver without holders.
func New(op Options) *Reserver {
	return &Reserver{op: op, holders: make(map[*Holder]bool), freed: make(chan struct{})}
}

// Holder is a transfer that holds a part of the budget and can be shed.
type Holder struct {
	re    *Reserver
	class Class
	// shed ends the transfer; it must not block or call the Reserver.
	shed    func()
	bytes   int64
	opened  time.Time
	movedAt time.Time
	rate    float64
	isShed  bool
}

// Open registers a transfer without bytes. shed is called at most once, if the transfer is to end because memory is
// short; nil if it cannot be shed.
func (re *Reserver) Open(class Class, shed func()) *Holder {
	now := time.Now()
	ho := &Holder{re: re, class: class, shed: shed, opened: now, movedAt: now}
	re.mu.Lock()
	defer re.mu.Unlock()
	re.holders[ho] = true
	return ho
}

// Reserve reserves bytes that no holder stands for, in a class. It returns false if the budget is short.
func (re *Reserver) Reserve(class Class, bytes int64) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	if !re.fits(class, bytes, 0) {
		re.refused[class]++
		return false
	}
	re.add(class, bytes)
	return true
}

// Release returns bytes that Reserve has reserved.
func (re *Reserver) Release(class Class, bytes int64) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.add(class, -bytes)
}

// SetShed makes the holder one that can be shed from now on: its progress counts from now.
func (ho *Holder) SetShed(shed func()) {
	ho.re.mu.Lock()
	defer ho.re.mu.Unlock()
	ho.shed = shed
	ho.opened = time.Now()
	ho.movedAt = ho.opened
}

// fits reports whether a class has room for further bytes, for a holder that will hold the given sum then; 0 for no holder.
func (re *Reserver) fits(class Class, bytes, sum int64) bool {
	if re.op.Total <= 0 {
		return true
	}
	limit := re.op.Limits[class]
	if class == Bodies && sum > re.op.SmallBody && re.used[class] > 0 {
		limit -= limit / 8
	}
	return re.used[class]+bytes <= limit && re.total+bytes <= re.op.Total
}

func (re *Reserver) add(class Class, bytes int64) {
	re.used[class] += bytes
	re.total += bytes
	re.peak = max(re.peak, re.total)
	if bytes < 0 && re.waiting {
		re.waiting = false
		close(re.freed)
		re.freed = make(chan struct{})
	}
}

// Reserve reserves further bytes for the holder. If the budget is short, it sheds holders of the class that make less
// progress and waits for their memory, at most for the given time. It returns false if there is no room by then, or if
// the holder itself has been shed.
func (ho *Holder) Reserve(bytes int64, wait time.Duration) bool {
	re := ho.re
	return re.await(wait, ho, func() bool {
		if !re.fits(ho.class, bytes, ho.bytes+bytes) {
			re.shedFor(ho, bytes)
			return false
		}
		ho.bytes += bytes
		re.add(ho.class, bytes)
		return true
	})
}

// await calls take, with the lock held, until it returns true. It calls it again whenever bytes are released, and gives up after
// the given time or once the holder has been shed.
func (re *Reserver) await(wait time.Duration, ho *Holder, take func() bool) bool {
	var timer *time.Timer
	for {
		re.mu.Lock()
		if ho.isShed {
			re.mu.Unlock()
			return false
		}
		if take() {
			re.mu.Unlock()
			return true
		}
		freed := re.freed
		re.waiting = true
		re.mu.Unlock()
		if timer == nil {
			timer = time.NewTimer(wait)
			defer timer.Stop()
		}
		select {
		case <-freed:
		case <-timer.C:
			re.mu.Lock()
			re.refused[ho.class]++
			re.mu.Unlock()
			return false
		}
	}
}

// shedFor sheds holders that make less progress than ho until the memory that will be released suffices for its further bytes.
func (re *Reserver) shedFor(ho *Holder, bytes int64) {
	now := time.Now()
	own := ho.progress(now)
	for re.shedding < bytes {
		var least *Holder
		leastProgress := own
		for other := range re.holders {
			if other == ho || !other.sheddable(ho.class, now) {
				continue
			}
			if pr := other.progress(now); pr < leastProgress {
				least, leastProgress = other, pr
			}
		}
		if least == nil {
			return
		}
		re.shedHolder(least)
	}
}

func (re *Reserver) shedHolder(ho *Holder) {
	ho.isShed = true
	re.shedding += ho.bytes
	re.shed[ho.class]++
	ho.shed()
}

// sheddable reports whether the holder can be shed in favour of one of the given class. Bodies and responses are not
// shed for each other: the limits of the classes keep them apart.
func (ho *Holder) sheddable(class Class, now time.Time) bool {
	return ho.shed != nil && !ho.isShed && ho.class == class && ho.bytes > 0 && now.Sub(ho.opened) >= stalledAfter
}

// progress returns the recent rate of the transfer in bytes per second; below 0, the longer the less, for one that has stalled.
func (ho *Holder) progress(now time.Time) float64 {
	idle := now.Sub(ho.movedAt)
	if idle >= stalledAfter {
		return -idle.Seconds()
	}
	return ho.rate * math.Exp(-idle.Seconds()/rateWindow.Seconds())
}

// Moved records that bytes of the transfer have arrived or have been taken by the peer.
func (ho *Holder) Moved(bytes int64) {
	ho.re.mu.Lock()
	defer ho.re.mu.Unlock()
	now := time.Now()
	decay := math.Exp(-now.Sub(ho.movedAt).Seconds() / rateWindow.Seconds())
	ho.rate = ho.rate*decay + float64(bytes)/rateWindow.Seconds()
	ho.movedAt = now
}

// Complete moves a body that has arrived whole to the class of requests in progress and releases the bytes that it
// holds beyond the given number. It waits for room, at most for the given time. The body cannot be shed afterwards. It
// returns false if there is no room or if it has been shed.
func (ho *Holder) Complete(bytes int64, wait time.Duration) bool {
	re := ho.re
	return re.await(wait, ho, func() bool {
		if re.op.Total > 0 && re.used[Requests]+bytes > re.op.Limits[Requests] {
			return false
		}
		re.add(ho.class, -ho.bytes)
		ho.class, ho.bytes, ho.shed = Requests, bytes, nil
		re.add(Requests, bytes)
		return true
	})
}

// IsShed reports whether the holder has been shed.
func (ho *Holder) IsShed() bool {
	ho.re.mu.Lock()
	defer ho.re.mu.Unlock()
	return ho.isShed
}

// Close releases all bytes of the holder. Its shed function is not called afterwards. Further calls do nothing.
func (ho *Holder) Close() {
	re := ho.re
	re.mu.Lock()
	defer re.mu.Unlock()
	if !re.holders[ho] {
		return
	}
	delete(re.holders, ho)
	if ho.isShed {
		re.shedding -= ho.bytes
	}
	re.add(ho.class, -ho.bytes)
	ho.bytes = 0
}

// Counts are what a Reserver has done so far, by class.
type Counts struct {
	// Used are the bytes reserved now, Refused the reservations that were refused and Shed the holders that were shed.
	Used, Refused, Shed [classCount]int64
	// Peak is the largest number of bytes that were reserved at the same time.
	Peak int64
}

// Counts returns what the Reserver has done so far.
func (re *Reserver) Counts() Counts {
	re.mu.Lock()
	defer re.mu.Unlock()
	return Counts{Used: re.used, Refused: re.refused, Shed: re.shed, Peak: re.peak}
}

// Classes returns all classes.
func Classes() []Class { return []Class{Connections, Bodies, Requests, Responses, Answers} }
