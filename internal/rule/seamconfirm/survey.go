package seamconfirm

import (
	"context"
	"time"

	"cardamomseam/internal/rule/seamrulewire"
)

// surveyInterval is the least time between two surveys.
const surveyInterval = time.Second

// Survey asks every cell for its state and returns what is known once all have answered,
// or when ctx ends. Surveys within a second share their questions.
func (c *Confirmer) Survey(ctx context.Context, revision int64) map[string]CellState {
	since := c.ask(time.Now(), revision)
	for {
		states, complete, changed := c.states(since)
		if complete {
			return states
		}
		select {
		case <-ctx.Done():
			return states
		case <-changed:
		}
	}
}

// ask sends a question to every cell unless one was sent lately, and returns when it was sent.
func (c *Confirmer) ask(now time.Time, revision int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.surveyed) < surveyInterval {
		return c.surveyed
	}
	c.surveyed = now
	own, coordinates := c.cells.Own()
	// A coordinator answers repeated questions at once.
	question := &seamrulewire.Datagram{Ask: &seamrulewire.Ask{Revision: revision, Attempt: 1}}
	for _, ref := range c.cells.Cells() {
		if (!coordinates || ref.ID != own.Cell) && !ref.Coordinator.Zero() {
			c.asked.Inc()
			c.send(ref.Coordinator, question)
		}
	}
	return now
}

// states returns the known states, whether every cell has answered since, and a channel
// that is closed with the next change.
func (c *Confirmer) states(since time.Time) (states map[string]CellState, complete bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own, coordinates := c.cells.Own()
	if coordinates {
		c.hear(own)
	}
	states = map[string]CellState{}
	complete = true
	for _, ref := range c.cells.Cells() {
		if s, ok := c.heard[ref.ID]; ok {
			states[ref.ID] = s
		}
		here := coordinates && ref.ID == own.Cell
		complete = complete && (here || !c.surveys[ref.ID].Before(since))
	}
	return states, complete, c.changed
}
