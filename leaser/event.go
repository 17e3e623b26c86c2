package leaser

// EventKind says how this instance gained a resource, or that it lost it.
type EventKind string

// Kinds of events.
const (
	// Created means that no record existed and this instance now holds the resource.
	Created EventKind = "created"
	// TakenOver means that the previous holder's lease lapsed; its state is lost.
	TakenOver EventKind = "taken-over"
	// HandedOver means that the previous holder handed the resource over; the event carries its state.
	HandedOver EventKind = "handed-over"
	// Resumed means that this instance acts again after a loss, and that no other instance acted in between.
	Resumed EventKind = "resumed"
	// Lost means that this instance must no longer act for the resource.
	Lost EventKind = "lost"
)

// Event reports that this instance gained or lost a resource.
type Event struct {
	resource string
	kind     EventKind
	fencing  uint64
	state    []byte
}

// Resource returns the name of the resource.
func (ev Event) Resource() string { return ev.resource }

// Kind returns how the resource was gained, or Lost.
func (ev Event) Kind() EventKind { return ev.kind }

// Fencing returns the fencing number to send with orders.
func (ev Event) Fencing() uint64 { return ev.fencing }

// State returns the state that the previous holder handed over.
func (ev Event) State() []byte { return ev.state }
