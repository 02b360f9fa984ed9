package keeper

import "cowsliptally.example/cowsliptally/folder"

// recovery looks for a checkpoint after records expired before they were folded.
type recovery struct {
	// at is the next offset to look at, oldest the first that the log keeps.
	at        uint64
	oldest    uint64
	assembler folder.Assembler
}
