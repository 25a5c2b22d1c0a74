// Package kind defines the domain types that filbertstall stores in the object
// API of the platform: halves, teams, services, endpoints and availability zones,
// and Configuration, which is one version of all of them.
//
// Every type validates itself when it is decoded from JSON, so a value that was
// decoded without an error needs no further checks. Treat values as immutable: a
// With method returns a changed copy.
//
// # Usage
//
//	var cfg kind.Configuration
//	if err := json.Unmarshal(data, &cfg); err != nil {
//		return err // for invalid values, a *kind.Error with the kind, the object and the field
//	}
//	svc, ok := cfg.Service("filbert-pool")
//	next, err := cfg.WithTeam(team)
//
// A Configuration is safe for concurrent use. Filbertstall builds one for each
// version and publishes it to request handlers through a snapshot.Holder.
package kind
