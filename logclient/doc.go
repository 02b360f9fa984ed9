// Package logclient reads and appends records of the platform's log service
// over HTTP.
//
//	client := logclient.New("127.0.0.1:7070", logclient.WithTimeout(2*time.Second))
//	offset, err := client.Append(ctx, "fleet", payload)
//	batch, err := client.Read(ctx, "fleet", from, 10*time.Second)
//
// To use another log service, provide a type with the methods Append and Read.
package logclient
