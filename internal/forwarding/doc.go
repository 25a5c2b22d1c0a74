// Package forwarding lets another instance serve a request whose endpoints this
// instance cannot reach.
//
// A request is forwarded once only: the instance that gets it serves it or refuses it.
// It goes to an instance of the same availability zone if one has links to the service's
// endpoints, else to one of another zone. The other instance checks the caller's key by
// its own configuration and knows how much time is left. Its answer comes back as it
// arrives; a closed connection cancels the request there. If the connection breaks after
// the request was sent, the request may have run.
//
// # Usage
//
//	fo := &forwarding.Forwarder{Pool: pool, Encode: codec.Forward, Self: self, Members: members, Alive: alive, Paths: tracker, Boot: boot}
//	an, instance, err := fo.Forward(ctx, request, service, tried, remaining) // a dispatch.Forwarder
package forwarding
