package intake

// AssignIn assigns a job to a dispatcher of a data centre. It returns false if the job is answered,
// already assigned to that dispatcher, or may have been started by a dispatcher of another data
// centre: only the dispatchers of that one know of its runs. dataCentre is empty if one
// dispatcher serves all.
func (t *Table[S]) AssignIn(j *Job[S], dataCentre, vm string, term uint64) (Offer[S], bool) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.finished || j.term == term && j.vm == vm {
		return Offer[S]{}, false
	}
	if j.mayHaveStarted && j.dataCentre != "" && j.dataCentre != dataCentre {
		return Offer[S]{}, false
	}
	offer := j.assign(vm, term)
	j.dataCentre = dataCentre
	return offer, true
}

// OfferedIn reports whether a dispatcher may have started tasks of a job, and in which data centre
// it is; empty if one dispatcher served all at that time.
func (t *Table[S]) OfferedIn(j *Job[S]) (dataCentre string, offered bool) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !j.mayHaveStarted {
		return "", false
	}
	return j.dataCentre, true
}

// AnyOutside reports whether a dispatcher of another data centre may have an unanswered job.
func (t *Table[S]) AnyOutside(dataCentre string) bool {
	for i := range t.shards {
		if t.shards[i].anyOutside(dataCentre) {
			return true
		}
	}
	return false
}

func (s *shard[S]) anyOutside(dataCentre string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.mayHaveStarted && j.dataCentre != "" && j.dataCentre != dataCentre {
			return true
		}
	}
	return false
}
