// Package buffer keeps bodies in memory that belongs to all bodies of an instance
// together.
//
// Neither the size of one body nor the number of bodies is known in advance, and an
// endpoint with a fault may send bytes without end. A Budget therefore has a bound for
// their sum, in bytes of memory and not of content, and divides it by a dynamic
// threshold: a body may grow as long as it holds no more than what is still free. One
// body alone may have half of the budget, and beside bodies without end there is always
// room for small ones. A Buffer grows by whole chunks and never copies what it has, so
// that it takes no more memory than it counts.
//
// # Usage
//
//	bu := &buffer.Budget{Bytes: 32 << 20}
//	bf := buffer.New(bu)
//	err := bf.Fill(answer, 16 << 20)
//	body := bf.Reader() // must be closed
//
// A Share is a part of a budget for memory that is kept elsewhere.
package buffer
