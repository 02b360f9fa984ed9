// Package translator converts between the schema's messages and the fleet's types.
package translator
