package node

import (
	"context"
	"sync"
)

// backgroundTasks runs short fire-and-forget tasks until it is stopped.
type backgroundTasks struct {
	ctx    context.Context // of the tasks
	cancel context.CancelFunc

	mu    sync.Mutex // serializes start with stop, so that no task starts after ctx is canceled
	tasks sync.WaitGroup
}

func newBackgroundTasks() backgroundTasks {
	ctx, cancel := context.WithCancel(context.Background())
	return backgroundTasks{ctx: ctx, cancel: cancel}
}

// start runs a task, unless stop was called.
func (b *backgroundTasks) start(task func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() == nil {
		b.tasks.Go(task)
	}
}

// stop cancels the tasks and waits until they have ended.
func (b *backgroundTasks) stop() {
	b.mu.Lock()
	b.cancel()
	b.mu.Unlock()
	b.tasks.Wait()
}
