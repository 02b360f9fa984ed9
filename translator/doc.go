// Package translator converts between the messages of the schema and the types of package fleet.
package translator
