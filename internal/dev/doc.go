// Package dev runs stand-ins and a whole small system for developers.
package dev
