package main

// #include <stdlib.h>
import "C"

// The users' machines require programs that the external linker links against the
// C library. The import of "C" above forces this, even if the standard library does
// not need it.
