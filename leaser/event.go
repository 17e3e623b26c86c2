package leaser

// EventKind tells what became of a resource.
type EventKind string

// The kinds of event.
const (
	// Created means that no record existed, and this instance now holds the resource.
	Created EventKind = "created"
	// TakenOver means that the earlier holder lapsed; its state is lost.
	TakenOver EventKind = "taken-over"
	// HandedOver means that the earlier holder handed over; its state is in the event.
	HandedOver EventKind = "handed-over"
	// Resumed means that this instance acts again, and no other one did since it was lost.
	Resumed EventKind = "resumed"
	// Lost means that this instance must not act any more.
	Lost EventKind = "lost"
)

// Event tells that this instance gained or lost a resource.
type Event struct {
	resource string
	kind     EventKind
	fencing  uint64
	state    []byte
}

// Resource returns the resource's name.
func (ev Event) Resource() string { return ev.resource }

// Kind tells how the resource was gained, or that it was lost.
func (ev Event) Kind() EventKind { return ev.kind }

// Fencing returns the fencing number that orders carry.
func (ev Event) Fencing() uint64 { return ev.fencing }

// State returns what the earlier holder handed over.
func (ev Event) State() []byte { return ev.state }
