package report

import (
	"fmt"
	"html/template"
	"math"
	"strconv"
	"strings"
)

const (
	chartWidth   = 720
	chartHeight  = 260
	leftMargin   = 64
	rightMargin  = 16
	topMargin    = 16
	bottomMargin = 40
	plotWidth    = chartWidth - leftMargin - rightMargin
	plotHeight   = chartHeight - topMargin - bottomMargin
	gridLines    = 4
	barGap       = 0.25
)

// colors are the colors of the series. They are distinguishable for readers with
// red-green color blindness.
var colors = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9", "#e69f00"}

// Series is one line of a line chart, or one bar in each group of a bar chart.
type Series struct {
	Name   string
	Values []float64
}

// Chart is a line or bar chart of several series over the same labels.
type Chart struct {
	Title string
	// Unit is the label of the vertical axis.
	Unit string
	// Labels are the names of the points or groups on the horizontal axis.
	Labels []string
	Series []Series
	// Lines selects a line chart. The default is a bar chart.
	Lines bool
	// Log10 selects a logarithmic vertical axis. Values below 0.1 are drawn at
	// 0.1, the lower end of the axis.
	Log10 bool
	// Limit is a target that is drawn as a dashed line. Zero means no target.
	Limit float64
	// Note is the caption, which explains how to read the chart.
	Note string
}

// axis maps values to vertical positions. The axis ends at top.
type axis struct {
	top   float64
	log10 bool
}

// logFloor is the lower end of a logarithmic axis, where zero has no position.
const logFloor = 0.1

func (ch Chart) axis() axis {
	highest := ch.Limit
	for _, se := range ch.Series {
		for _, va := range se.Values {
			highest = max(highest, va)
		}
	}
	if ch.Log10 {
		return axis{top: math.Pow(10, math.Ceil(math.Log10(max(highest, 1)))), log10: true}
	}
	return axis{top: niceTop(highest)}
}

// niceTop rounds up to 1, 2 or 5 times a power of ten.
func niceTop(highest float64) float64 {
	if highest <= 0 {
		return 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(highest)))
	for _, step := range []float64{1, 2, 5, 10} {
		if highest <= step*unit {
			return step * unit
		}
	}
	return 10 * unit
}

// yCoordinate returns the vertical position of a value in the units of the SVG view
// box, where zero is the upper edge.
func (ax axis) yCoordinate(value float64) float64 {
	fraction := value / ax.top
	if ax.log10 {
		fraction = math.Log10(max(value, logFloor)/logFloor) / math.Log10(ax.top/logFloor)
	}
	return topMargin + plotHeight*(1-fraction)
}

// ticks returns the values at which grid lines are drawn.
func (ax axis) ticks() []float64 {
	var list []float64
	if ax.log10 {
		// The factor tolerates rounding errors of the repeated multiplication.
		for va := logFloor; va <= ax.top*1.0001; va *= 10 {
			list = append(list, va)
		}
		return list
	}
	for ix := range gridLines + 1 {
		list = append(list, ax.top*float64(ix)/gridLines)
	}
	return list
}

// SVG renders the chart as an inline SVG element.
func (ch Chart) SVG() template.HTML {
	var sb strings.Builder
	ax := ch.axis()
	fmt.Fprintf(&sb, `<svg viewBox="0 0 %d %d" role="img" aria-label="%s">`, chartWidth, chartHeight, template.HTMLEscapeString(ch.Title))
	for _, va := range ax.ticks() {
		fmt.Fprintf(&sb, `<line class="grid" x1="%d" x2="%d" y1="%.1f" y2="%.1f"/>`, leftMargin, chartWidth-rightMargin, ax.yCoordinate(va), ax.yCoordinate(va))
		fmt.Fprintf(&sb, `<text class="tick" x="%d" y="%.1f" text-anchor="end">%s</text>`, leftMargin-6, ax.yCoordinate(va)+4, formatNumber(va))
	}
	if ch.Limit > 0 {
		fmt.Fprintf(&sb, `<line class="limit" x1="%d" x2="%d" y1="%.1f" y2="%.1f"/>`, leftMargin, chartWidth-rightMargin, ax.yCoordinate(ch.Limit), ax.yCoordinate(ch.Limit))
	}
	if ch.Lines {
		ch.writeLines(&sb, ax)
	} else {
		ch.writeBars(&sb, ax)
	}
	ch.writeLabels(&sb)
	fmt.Fprintf(&sb, `<text class="tick" x="14" y="%d" transform="rotate(-90 14 %d)" text-anchor="middle">%s</text></svg>`,
		topMargin+plotHeight/2, topMargin+plotHeight/2, template.HTMLEscapeString(ch.Unit))
	return template.HTML(sb.String()) //nolint:gosec // numbers and escaped text only
}

// center returns the horizontal position of the center of a group.
func (ch Chart) center(ix int) float64 {
	return leftMargin + plotWidth*(float64(ix)+0.5)/float64(max(1, len(ch.Labels)))
}

func (ch Chart) writeLines(sb *strings.Builder, ax axis) {
	for ix, se := range ch.Series {
		points := make([]string, 0, len(se.Values))
		for at, va := range se.Values {
			points = append(points, fmt.Sprintf("%.1f,%.1f", ch.center(at), ax.yCoordinate(va)))
		}
		fmt.Fprintf(sb, `<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>`, colors[ix%len(colors)], strings.Join(points, " "))
	}
}

func (ch Chart) writeBars(sb *strings.Builder, ax axis) {
	group := float64(plotWidth) / float64(max(1, len(ch.Labels)))
	width := group * (1 - barGap) / float64(max(1, len(ch.Series)))
	for ix, se := range ch.Series {
		for at, va := range se.Values {
			left := ch.center(at) - group*(1-barGap)/2 + float64(ix)*width
			top := ax.yCoordinate(va)
			fmt.Fprintf(sb, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"><title>%s, %s: %s</title></rect>`,
				left, top, width*0.92, topMargin+plotHeight-top, colors[ix%len(colors)],
				template.HTMLEscapeString(se.Name), template.HTMLEscapeString(ch.Labels[at]), formatNumber(va))
		}
	}
}

// maxLabels is the maximum number of labels below the horizontal axis. A chart with
// more labels shows only every n-th one.
const maxLabels = 14

func (ch Chart) writeLabels(sb *strings.Builder) {
	every := max(1, (len(ch.Labels)+maxLabels-1)/maxLabels)
	for ix, label := range ch.Labels {
		if ix%every == 0 {
			fmt.Fprintf(sb, `<text class="tick" x="%.1f" y="%d" text-anchor="middle">%s</text>`, ch.center(ix), topMargin+plotHeight+18, template.HTMLEscapeString(label))
		}
	}
}

// formatNumber formats a value without decimals from 100 on and for integers, with
// one decimal from 1 on, and with two significant digits below 1.
func formatNumber(value float64) string {
	switch {
	case value >= 100 || value == math.Trunc(value):
		return strconv.FormatFloat(value, 'f', 0, 64)
	case value >= 1:
		return strconv.FormatFloat(value, 'f', 1, 64)
	default:
		return strconv.FormatFloat(value, 'g', 2, 64)
	}
}

// Color returns the color of the series with the given index. Colors repeat when
// there are more series than colors.
func (ch Chart) Color(ix int) string { return colors[ix%len(colors)] }
