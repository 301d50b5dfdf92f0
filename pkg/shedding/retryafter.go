package shedding

import "time"

const (
	// MinRetryAfter is the shortest retry delay that a rejected caller is
	// given.
	MinRetryAfter = 200 * time.Millisecond
	// quickRetryFraction is the admitted fraction of a class from which a quick
	// retry is likely to succeed.
	quickRetryFraction = 0.7
	// retrySpreadDivisor divides the remaining time to get the interval over
	// which quick retries are spread.
	retrySpreadDivisor = 6
)

// RetryAfter returns the retry delay for a request that was shed. It is short
// where most of the class is admitted; otherwise it is the remaining time, after
// which the caller has given up on the request. randomUnit is a random number
// between 0 and 1 that spreads quick retries.
func RetryAfter(admittedFraction float64, remaining time.Duration, randomUnit float64) time.Duration {
	if admittedFraction >= quickRetryFraction {
		return MinRetryAfter + time.Duration(randomUnit*float64(max(remaining/retrySpreadDivisor, time.Millisecond)))
	}
	return remaining
}
