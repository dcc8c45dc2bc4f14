// Package catalogue writes the pages of docs that the code's own tables and
// the schema define.
package catalogue
