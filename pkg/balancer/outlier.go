package balancer

import "slices"

const (
	// minRelativeUse is the useful fraction of the calls of an instance, relative to the
	// median of its service, below which the instance is an outlier. The fractions rest on
	// few calls: a smaller difference may be chance.
	minRelativeUse = 0.75
	// probeFraction is the fraction of an equal share of the calls that an outlier still
	// gets, so that its recovery is seen, and failedProbeFraction that of one that fails
	// calls, which unlike rejected ones are lost.
	probeFraction       = 0.25
	failedProbeFraction = 0.12
	// outlierCost is the cost of an outlier beyond its fullness, divided by the fraction of its
	// useful calls: the others are full before more than probe traffic goes to it.
	outlierCost = 2.0
	// maxOutlierPenalty bounds the cost of an outlier. It is below lastResortPenalty.
	maxOutlierPenalty = 1e3
)

// markOutliers marks the candidates that reject or fail more of their calls than the others
// and returns their number. If more than half of them do, the others are no
// measure, and none is marked.
func markOutliers(candidates []Candidate) int {
	suspects := 0
	for i := range candidates {
		candidates[i].outlier = false
		if candidates[i].useful() < minRelativeUse {
			suspects++
		}
	}
	if suspects == 0 || len(candidates) < 2 {
		return 0
	}
	threshold := minRelativeUse * medianUse(candidates)
	outliers := 0
	for i := range candidates {
		if candidates[i].useful() < threshold {
			candidates[i].outlier = true
			outliers++
		}
	}
	return outliers
}

// medianUse returns the median of the useful fractions, the higher one of two.
func medianUse(candidates []Candidate) float64 {
	uses := make([]float64, len(candidates))
	for i := range candidates {
		uses[i] = candidates[i].useful()
	}
	slices.Sort(uses)
	return uses[len(uses)/2]
}

func (c *Candidate) outlierPenalty() float64 {
	return outlierCost / max(c.useful(), outlierCost/maxOutlierPenalty)
}

// probe returns an outlier of the group that gets the call as a probe, or -1.
func (g *group) probe(random func() float64) int {
	position := random() * float64(g.count)
	for i := range g.candidates {
		c := &g.candidates[i]
		if !c.outlier || c.LastResort || c.OtherDataCentre != g.other {
			continue
		}
		fraction := probeFraction
		if c.Failed > c.Rejected {
			fraction = failedProbeFraction
		}
		if position -= fraction; position < 0 {
			return i
		}
	}
	return -1
}

// Outliers returns the indices of the candidates that get probe traffic only.
func Outliers(candidates []Candidate) []int {
	if markOutliers(candidates) == 0 {
		return nil
	}
	var indices []int
	for i := range candidates {
		if candidates[i].outlier {
			indices = append(indices, i)
		}
	}
	return indices
}
