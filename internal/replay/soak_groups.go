package replay

import (
	"context"
	"slices"
)

// drawSplit draws a split and returns the function that runs it.
func (s *soakTest) drawSplit(ctx context.Context) func() {
	switch s.rng.IntN(3) {
	case 0:
		return s.split(ctx, s.drawDataCentres(), s.drawHaltCount(1))
	case 1:
		return s.split(ctx, s.drawSharingGroups(), s.drawHaltCount(soakGroupsHaltShare))
	default:
		return s.split(ctx, s.drawReachingGroups(), s.drawHaltCount(soakGroupsHaltShare))
	}
}

// drawHaltCount draws the number of halts in a split. One of share splits has any.
func (s *soakTest) drawHaltCount(share int) int {
	if s.rng.IntN(share) > 0 {
		return 0
	}
	return 1 + s.rng.IntN(soakMaxHalts)
}

// drawDataCentres separates one data centre from the others, or each from each, together
// with their upstreams.
func (s *soakTest) drawDataCentres() []vmGroup {
	single := s.rng.IntN(len(soakDataCentres) + 1)
	if single == len(soakDataCentres) {
		return s.separateDataCentres()
	}
	others := slices.Delete(slices.Clone(soakDataCentres), single, single+1)
	return s.groupsOf([][]string{soakDataCentres[single : single+1], others})
}

// separateDataCentres returns a group for each data centre.
func (s *soakTest) separateDataCentres() []vmGroup {
	return s.groupsOf(slices.Collect(slices.Chunk(soakDataCentres, 1)))
}

// groupsOf returns a group for each set of data centres. It reaches the upstreams of these
// data centres only.
func (s *soakTest) groupsOf(dataCentres [][]string) []vmGroup {
	groups := make([]vmGroup, len(dataCentres))
	for i, set := range dataCentres {
		for _, v := range s.vms {
			if slices.Contains(set, v.dataCentre) {
				groups[i].vms = append(groups[i].vms, v)
			}
		}
		for _, u := range s.upstreams {
			if !slices.Contains(set, u.entry.DataCentre) {
				groups[i].lost = append(groups[i].lost, u)
			}
		}
	}
	return groups
}

// drawTwoGroups separates the VMs at random, whatever their data centres.
func (s *soakTest) drawTwoGroups() []vmGroup {
	groups := make([]vmGroup, 2)
	first := 1 + s.rng.IntN(max(len(s.vms)-1, 1)) // VMs of the first group
	for i, index := range s.rng.Perm(len(s.vms)) {
		g := &groups[0]
		if i >= first {
			g = &groups[1]
		}
		g.vms = append(g.vms, s.vms[index])
	}
	return groups
}

// drawSharingGroups returns two groups that share all upstreams but a random share, up to a
// half, that one of them loses.
func (s *soakTest) drawSharingGroups() []vmGroup {
	groups := s.drawTwoGroups()
	g := &groups[s.rng.IntN(len(groups))]
	lost := s.rng.IntN(len(s.upstreams)/2 + 1)
	for _, index := range s.rng.Perm(len(s.upstreams))[:lost] {
		g.lost = append(g.lost, s.upstreams[index])
	}
	return groups
}

// drawReachingGroups returns two groups. Each upstream is reached by both or by only one.
func (s *soakTest) drawReachingGroups() []vmGroup {
	groups := s.drawTwoGroups()
	for _, u := range s.upstreams {
		if loser := s.rng.IntN(len(groups) + 1); loser < len(groups) {
			groups[loser].lost = append(groups[loser].lost, u)
		}
	}
	return groups
}
