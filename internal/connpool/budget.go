package connpool

import "github.com/mimosaward/mimosaward/internal/membudget"

// ErrBudgetExceeded means that a body was given up because all that the process holds takes too
// much memory, and this body most of it.
var ErrBudgetExceeded = membudget.ErrExceeded

// Budget bounds the memory of the bodies that are read at the same time: endpoints in trouble may
// send bytes without end. If it is used up, the largest user is given up.
type Budget = membudget.Budget
