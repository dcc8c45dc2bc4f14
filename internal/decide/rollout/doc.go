// Package rollout decides which versions of a service's servers get requests while operators
// replace one version by another, and whether the new version succeeds or is rolled back.
package rollout
