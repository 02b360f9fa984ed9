package arbiter

// Answer is what is known from asking a silent owner for a seal.
type Answer uint8

const (
	// NotAsked is the state before the owner is asked.
	NotAsked Answer = iota
	// Sealed proves that the attempt did not run.
	Sealed
	// NotSealed means that the owner has dispatched the attempt, or cannot tell.
	NotSealed
	// Unreachable means that nothing is known: the owner's answer may come once the path is back.
	Unreachable
	// Ended means that the owner's process has ended. What it wrote before may still arrive.
	Ended
	// Gone means that the fleet holds the owner's node for dead, or has forgotten or replaced it.
	Gone
)

// SlotSearch is the state of the search for a slot for the next attempt.
type SlotSearch uint8

const (
	// NotSearched is the state before other owners are asked.
	NotSearched SlotSearch = iota
	// NoSlot means that none of them has reserved a slot.
	NoSlot
	// SlotReserved means that one has.
	SlotReserved
)

// Ending is how an attempt ended without an answer.
type Ending uint8

const (
	// Running means that it has not ended.
	Running Ending = iota
	// NodeEnded means that the owner's node stops and has ended the attempt, or its process has ended.
	NodeEnded
	// Failed is any other end: its outcome is known, or its connection was lost.
	Failed
)
