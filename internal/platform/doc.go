// Package platform is the client of the platform's object API.
package platform
