// Package command implements the command line: the node subcommand, and client
// subcommands that call OperatorService and JournalService of running nodes. Each
// subcommand is a kong struct with a method Run(*Context) error.
//
//	var cli struct {
//		Apply command.Apply `cmd:"" help:"Apply a configuration file."`
//	}
//	err := kong.Parse(&cli).Run(&command.Context{Address: address, Timeout: timeout, Out: os.Stdout})
//	os.Exit(command.ExitCode(err))
package command
