// Package service is a stand-in for a plain HTTP service that counts how often it ran each call.
package service
