package engine

// dispatch plans, records the planned starts and returns all commands, as the leader does with a store that answers at once.
func dispatch(sc *Scheduler) []Command {
	return append(sc.Commands(), recordStarts(sc, map[string][]byte{})...)
}

// recordStarts records the planned starts in rows and returns those to send.
func recordStarts(sc *Scheduler, rows map[string][]byte) []Command {
	writeStarts(sc, rows)
	sc.ConfirmStarts()
	return sc.RecordedStarts()
}

// writeStarts writes the record of starts to rows without a confirmation.
func writeStarts(sc *Scheduler, rows map[string][]byte) {
	writes, err := sc.StartWrites()
	if err != nil {
		panic(err)
	}
	for _, w := range writes {
		if w.Delete {
			delete(rows, w.Key)
		} else {
			rows[w.Key] = w.Value
		}
	}
}
