// Package service stands in for a plain service that counts what it ran.
package service
