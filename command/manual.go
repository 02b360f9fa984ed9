package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// manualHead is the part of the manual page before the flags and commands; its
// argument is the version.
const manualHead = `.TH COWSLIPTALLY 1 "" "cowsliptally %s" "User Commands"
.SH NAME
cowsliptally \- proxy fleet for backend servers with gray failures
.SH SYNOPSIS
.B cowsliptally
.I command
.RI [ flags ]
.SH DESCRIPTION
.B cowsliptally node
runs beside the backend servers of one VM. It takes callers' requests for any
service, sends each to a healthy backend server through the node of its VM, and
returns the whole answer or an error that states whether the request was
executed. Backend servers announce themselves to the node of their VM.
.PP
Every other command calls a running node over the schema in
.IR schema/ .
Any node answers.
.PP
Every flag but \-\-help and \-\-version can also be set by an environment
variable: \-\-caller\-address by COWSLIPTALLY_CALLER_ADDRESS.
`

// manualFoot is the part of the manual page after the commands.
const manualFoot = `.SH EXIT STATUS
0 on success, 1 when a change was refused or a guarantee is at risk, 2 on
invalid input, 3 when the node or the log service is unavailable and nothing
changed, 4 when the outcome is unknown.
`

// Manual prints the manual page.
type Manual struct{}

// Run prints the page as roff source.
func (*Manual) Run(c *Context) error {
	parser, err := newParser(&root{}, io.Discard, io.Discard)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Out, manualHead, Version)
	fmt.Fprintln(c.Out, ".SH FLAGS OF ALL COMMANDS")
	writeFlags(c.Out, parser.Model.Node)
	fmt.Fprintln(c.Out, ".SH COMMANDS")
	for _, leaf := range parser.Model.Leaves(true) {
		fmt.Fprintf(c.Out, ".SS %s\n%s\n", escape(leaf.FullPath()), escape(leaf.Help))
		writeArguments(c.Out, leaf)
		writeFlags(c.Out, leaf)
	}
	_, err = io.WriteString(c.Out, manualFoot)
	return err
}

func writeArguments(out io.Writer, node *kong.Node) {
	for _, argument := range node.Positional {
		fmt.Fprintf(out, ".TP\n.I %s\n%s\n", escape(argument.Name), escape(argument.Help))
	}
}

func writeFlags(out io.Writer, node *kong.Node) {
	for _, flag := range node.Flags {
		if flag.Hidden || flag.Name == "help" {
			continue
		}
		fmt.Fprintf(out, ".TP\n.B %s\n%s\n", escape("--"+flag.Name), escape(flagHelp(flag)))
	}
}

func flagHelp(flag *kong.Flag) string {
	switch {
	case flag.Required:
		return flag.Help + " Required."
	case flag.Default != "":
		return flag.Help + " Default: " + flag.Default + "."
	default:
		return flag.Help
	}
}

func escape(text string) string {
	return strings.ReplaceAll(text, "-", `\-`)
}
