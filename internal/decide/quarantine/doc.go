// Package quarantine identifies request contents, and parts of prompts, that crash the backend
// servers which run them, from the observations of several entry VMs.
package quarantine
