// Package report renders measurements as a self-contained HTML page with charts
// and tables.
//
// # Usage
//
//	pa := report.Page{Title: "Smoke run", Charts: charts, Tables: tables}
//	err := pa.Write(file)
package report
