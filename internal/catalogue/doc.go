// Package catalogue generates the pages of docs that list events, errors, metrics,
// settings and fields from the tables in the code and the schema.
package catalogue
