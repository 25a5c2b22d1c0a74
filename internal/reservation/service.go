package reservation

import "filbertstall.example/filbertstall/internal/peer"

// ServiceName is the name under which Service is registered at a peer.Server.
const ServiceName = "Reservation"

// Service has the calls that other instances make.
type Service struct{ al *Allocator }

// Service returns the calls of the allocator.
func (al *Allocator) Service() *Service { return &Service{al: al} }

// Take answers the call of that name.
func (se *Service) Take(ar TakeArgs, re *TakeReply) (err error) {
	defer peer.Recover(&err)
	*re = se.al.Take(ar)
	return nil
}

// Leave answers the call of that name.
func (se *Service) Leave(ar LeaveArgs, _ *LeaveReply) (err error) {
	defer peer.Recover(&err)
	se.al.Leave(ar)
	return nil
}
