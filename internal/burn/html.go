package burn

import (
	"html/template"
	"io"

	"github.com/rotisserie/eris"
)

const (
	maxBarWidth = 300.0 // pixels
	barScale    = 15.0  // pixels per unit of burn rate
)

// bar returns the length of the bar for a burn rate, in pixels.
func bar(rate float64) float64 { return min(maxBarWidth, rate*barScale) }

var page = template.Must(template.New("burn").Funcs(template.FuncMap{"bar": bar}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}th,td{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}
th:first-child,td:first-child,th:nth-child(2),td:nth-child(2){text-align:left}.page{color:#b00}.ticket{color:#a60}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At.Format "2006-01-02 15:04:05 MST"}}; {{.Instances}} instances answered, {{.Unseen}} did not. A burn of 1 uses the error budget up exactly.</p>
<table><tr><th>class</th><th>customer</th><th>requests</th><th>whole</th><th>bad</th><th>objective</th><th>first p95 ms</th><th>gap p95 ms</th>
<th>budget exhausted</th><th>false refusals</th><th>alert</th><th>burn by window</th></tr>
{{range .Lines}}<tr><td>{{.Class}}</td><td>{{if .Customer}}{{.Customer}}{{else}}(all){{end}}</td><td>{{.Counts.Total}}</td><td>{{.Counts.Whole}}</td>
<td>{{.Counts.Bad}}</td><td>{{printf "%.4f" .Objective}}</td><td>{{printf "%.1f" .FirstTokenMS.P95}}</td><td>{{printf "%.1f" .SlowestGapMS.P95}}</td>
<td>{{.Counts.Exhausted}}</td><td>{{.Counts.Unready}}</td><td class="{{.Alert}}">{{.Alert}}</td>
<td>{{range $w, $b := .Burn}}<svg width="360" height="14" role="img" aria-label="{{$w}}"><rect width="{{bar $b}}" height="10" y="2" fill="#48a"/>
<text x="{{bar $b}}" y="11" font-size="10" dx="4">{{$w}}: {{printf "%.2f" $b}}</text></svg><br>{{end}}</td></tr>
{{end}}</table></body></html>
`))

// HTML writes the report as a self-contained page.
func (r Report) HTML(w io.Writer) error {
	return eris.Wrap(page.Execute(w, r), "writing the burn page")
}
