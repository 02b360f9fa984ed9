// Package command holds the client subcommands: each is a kong struct with
// Run(*Context) error that calls OperatorService of one node.
//
//	var cli struct {
//		Apply command.Apply `cmd:"" help:"Apply a configuration file."`
//	}
//	err := kong.Parse(&cli).Run(&command.Context{Address: address, Timeout: timeout, Out: os.Stdout})
//	os.Exit(command.ExitCode(err))
package command
