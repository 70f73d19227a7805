package gossiper

// Tellers returns those who told of the newest version of a table.
func (g *Gossiper) Tellers(table string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.topics[table].tellers
}
