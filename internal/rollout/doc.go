// Package rollout decides how the traffic of a service moves to a new version.
package rollout
