package main

// #include <stdlib.h>
import "C"

// The users' machines run programs that are linked against the C library by
// the external linker; the import above makes that so whatever the standard
// library needs.
