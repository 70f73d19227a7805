package assembler

import (
	"oriolemill.example/oriolemill/internal/server/blocker"
	"oriolemill.example/oriolemill/internal/server/controller"
)

// BlockController blocks the controller goroutine in an event until release is called.
func (i *Instance) BlockController() (release func()) {
	blocked := make(chan struct{})
	released := make(chan struct{})
	i.controller.Post(controller.EventFunc(func() {
		close(blocked)
		<-released
	}))
	<-blocked
	return func() { close(released) }
}

// Blocker returns the component that knows which prompts crash engines.
func (i *Instance) Blocker() *blocker.Blocker { return i.blocker }
