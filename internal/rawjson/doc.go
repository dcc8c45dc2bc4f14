// Package rawjson splits JSON into its members and elements without decoding them, so that one that can't be
// decoded does not hide the others.
package rawjson
