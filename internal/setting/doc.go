// Package setting reads and validates the settings file of an entry instance.
// The file is JSON with comments, and unknown fields are errors.
//
// # Usage
//
//	se, err := setting.Load("entry.hujson")
//	var faults setting.Faults
//	if errors.As(err, &faults) {
//		for _, fa := range faults { fmt.Println(fa) } // file:line: field: problem
//	}
//
// Settings hold only what an instance needs before it can reach the platform.
// Everything else is configuration, which can change while instances run.
package setting
