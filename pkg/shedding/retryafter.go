package shedding

import "time"

const (
	// MinRetryAfter is the shortest time after which a caller is asked to come back.
	MinRetryAfter = 200 * time.Millisecond
	// quickRetryFraction is the part of a class that must be admitted for a return to be likely to succeed.
	quickRetryFraction = 0.7
	// retrySpreadDivisor is the part of the time left over which returns are spread.
	retrySpreadDivisor = 6
)

// RetryAfter returns the hint in a refusal for lack of room: soon where most of
// the class is admitted, else when the caller has given up on this request. The
// chance, between 0 and 1, spreads returns.
func RetryAfter(admittedFraction float64, remaining time.Duration, randomUnit float64) time.Duration {
	if admittedFraction >= quickRetryFraction {
		return MinRetryAfter + time.Duration(randomUnit*float64(max(remaining/retrySpreadDivisor, time.Millisecond)))
	}
	return remaining
}
