package rollout

import "github.com/ledgemount/ledgemount/internal/mesh"

// singleInstance is a membership view with one instance.
type singleInstance struct{}

func (singleInstance) Self() mesh.Peer   { return mesh.Peer{ID: "a", Zone: "z"} }
func (singleInstance) Zone() []mesh.Peer { return []mesh.Peer{{ID: "a", Zone: "z"}} }
