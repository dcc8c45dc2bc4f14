// Package dev runs stand-ins of the platform, engines and services, or a complete
// small system, for developers.
package dev
