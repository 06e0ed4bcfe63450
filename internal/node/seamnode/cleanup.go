package seamnode

// cleanups runs clean-up functions in reverse order.
type cleanups struct {
	functions []func()
}

func (c *cleanups) add(f func()) {
	c.functions = append(c.functions, f)
}

func (c *cleanups) run() {
	for i := len(c.functions) - 1; i >= 0; i-- {
		c.functions[i]()
	}
	c.functions = nil
}
