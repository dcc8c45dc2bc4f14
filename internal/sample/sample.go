package sample

import _ "embed"

// Resources declares two engines, one plain service and a workspace for each of two
// users.
//
//go:embed resources.yaml
var Resources []byte

// Keys of the workspaces that Resources declares.
const (
	KeyDispatch = "dispatch-key"
	KeyField    = "field-key"
)
