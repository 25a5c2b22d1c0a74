package report

import (
	"html/template"
	"io"
)

// Table is a table with a heading row.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
	// Failed marks the indexes of rows that are highlighted as failed.
	Failed map[int]bool
}

// Page is the content of a report. Write renders the charts before the tables.
type Page struct {
	Title string
	// Summary is one sentence that describes the measured run.
	Summary string
	Charts  []Chart
	Tables  []Table
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 800px; margin: 2em auto; padding: 0 1em; color: #222; }
svg { width: 100%; height: auto; }
.grid { stroke: #ddd; }
.limit { stroke: #b00; stroke-dasharray: 6 4; }
.tick { font-size: 12px; fill: #444; }
.key { display: inline-block; width: 12px; height: 12px; margin: 0 4px 0 12px; }
table { border-collapse: collapse; width: 100%; font-size: 14px; }
th, td { text-align: right; padding: 3px 6px; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
tr.failed td { background: #fde8e4; }
.wide { overflow-x: auto; }
figcaption, .note { color: #555; font-size: 14px; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
<p>{{.Summary}}</p>
{{range .Charts}}{{$chart := .}}
<h2>{{.Title}}</h2>
<figure>
<div>{{range $ix, $se := .Series}}<span class="key" style="background: {{$chart.Color $ix}}"></span>{{$se.Name}}{{end}}{{if .Limit}}<span class="note"> &nbsp; dashed: target</span>{{end}}</div>
{{.SVG}}
<figcaption>{{.Note}}</figcaption>
</figure>
{{end}}
{{range .Tables}}{{$table := .}}
<h2>{{.Title}}</h2>
<div class="wide"><table>
<tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range $ix, $row := .Rows}}<tr{{if index $table.Failed $ix}} class="failed"{{end}}>{{range $row}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></div>
{{end}}
</body>
</html>
`))

// Write renders the page as HTML to wr.
func (pa Page) Write(wr io.Writer) error { return pageTemplate.Execute(wr, pa) }
