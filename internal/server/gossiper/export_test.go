package gossiper

// AnnouncerIDs returns the IDs of the instances that announced the newest version of a
// table.
func (g *Gossiper) AnnouncerIDs(table string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.topics[table].announcers
}
