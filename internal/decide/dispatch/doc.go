// Package dispatch decides where each request runs, which wait and which are
// refused, from declared servers, late reports and this entry VM's own work.
package dispatch
