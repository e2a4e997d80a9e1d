package gateway

// The cells of gateways to which places are granted, as a metric label.
const (
	lentToOwnCell   = "own"
	lentToOtherCell = "other"
)

// inOwnCell reports whether a gateway belongs to the cell of this one.
func (g *Gateway) inOwnCell(gateway string) bool {
	cells := g.peerTable.Cells()
	return cells.Of(gateway) == cells.Of(g.self.Name)
}

// recordLent counts a place granted to another gateway.
func (g *Gateway) recordLent(ownCell bool) {
	label := lentToOtherCell
	if ownCell {
		label = lentToOwnCell
	}
	g.metrics.lent.WithLabelValues(label).Inc()
}
