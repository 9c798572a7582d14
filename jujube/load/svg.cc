#include "jujube/load/svg.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/string_view.h"

namespace jujube::load {
namespace {

// Dimensions in pixels.
constexpr double Width = 860;
constexpr double MinHeight = 420;
constexpr double Left = 70;
constexpr double Right = 190;
constexpr double Top = 40;
constexpr double BottomMargin = 50;
constexpr double LegendStep = 18;
// Maximum number of tick intervals on an axis.
constexpr double MaxSteps = 5;
constexpr std::size_t MaxPoints = 600;

constexpr std::array<absl::string_view, 8> Colours = {
    "#1f77b4", "#d62728", "#2ca02c", "#ff7f0e",
    "#9467bd", "#8c564b", "#17becf", "#7f7f7f"};

// Dash patterns for the first, second, ... pass through the colours.
constexpr std::array<absl::string_view, 3> Dashes = {"none", "7 3", "2 2"};

std::string escape(absl::string_view text) {
  return absl::StrReplaceAll(text,
                             {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}});
}

// Returns the next value of the form 1, 2 or 5 times a power of ten.
double roundUp(double value) {
  if (value <= 0)
    return 1;
  const double power = std::pow(10, std::floor(std::log10(value)));
  for (const double factor : {1.0, 2.0, 5.0})
    if (value <= factor * power)
      return factor * power;
  return 10 * power;
}

double stepOf(double max) { return roundUp(max / MaxSteps); }

double logarithm(double value) { return std::log10(1 + value); }

// Maps values to pixels.
struct Scale {
  double MaxX = 1;
  double MaxY = 1;
  XAxis Axis = XAxis::Linear;
  double Bottom = 0;

  double x(double value) const {
    const double part =
        Axis == XAxis::Log ? logarithm(value) / logarithm(MaxX) : value / MaxX;
    return Left + part * (Width - Left - Right);
  }
  double y(double value) const {
    return Bottom - value / MaxY * (Bottom - Top);
  }
};

// The height needed for all rows of the legend.
double heightOf(const Plot &plot) {
  const auto rows = static_cast<double>(plot.Lines.size());
  return std::max(MinHeight, Top + LegendStep * rows + BottomMargin);
}

Scale scaleOf(const Plot &plot) {
  double x = 0;
  double y = 0;
  for (const PlotLine &line : plot.Lines)
    for (const PlotPoint &point : line.Points) {
      x = std::max(x, point.X);
      y = std::max(y, point.Y);
    }
  for (const PlotMark &mark : plot.Marks)
    x = std::max(x, mark.X);
  const double step = stepOf(y);
  return {x > 0 ? x : 1, std::max(1.0, std::ceil(y / step)) * step, plot.Axis,
          heightOf(plot) - BottomMargin};
}

std::vector<double> ticksOf(const Scale &scale) {
  std::vector<double> ticks = {0};
  if (scale.Axis == XAxis::Log) {
    for (double tick = 1; tick <= scale.MaxX; tick *= 10)
      ticks.push_back(tick);
    return ticks;
  }
  const double step = stepOf(scale.MaxX);
  while (ticks.back() + step <= scale.MaxX)
    ticks.push_back(ticks.back() + step);
  return ticks;
}

std::string text(double x, double y, absl::string_view anchor,
                 absl::string_view content) {
  return absl::StrFormat(
      "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
      anchor, escape(content));
}

std::string grid(const Scale &scale) {
  std::string svg;
  const double step = stepOf(scale.MaxY);
  for (double y = 0; y <= scale.MaxY + step / 2; y += step) {
    absl::StrAppendFormat(&svg,
                          "<path d=\"M%.1f %.1fH%.1f\" stroke=\"#ddd\"/>\n",
                          Left, scale.y(y), Width - Right);
    absl::StrAppend(
        &svg, text(Left - 6, scale.y(y) + 4, "end", absl::StrFormat("%g", y)));
  }
  for (const double x : ticksOf(scale)) {
    absl::StrAppendFormat(&svg,
                          "<path d=\"M%.1f %.1fV%.1f\" stroke=\"#eee\"/>\n",
                          scale.x(x), Top, scale.Bottom);
    absl::StrAppend(&svg, text(scale.x(x), scale.Bottom + 18, "middle",
                               absl::StrFormat("%g", x)));
  }
  return svg;
}

// Alternates the height of names, so that those of adjacent marks do not
// overlap.
std::string marks(const Plot &plot, const Scale &scale) {
  constexpr int Heights = 3;
  std::string svg;
  int row = 0;
  for (const PlotMark &mark : plot.Marks) {
    const double x = scale.x(mark.X);
    absl::StrAppendFormat(&svg,
                          "<path d=\"M%.1f %.1fV%.1f\" stroke=\"#000\" "
                          "stroke-dasharray=\"3 3\"/>\n",
                          x, Top, scale.Bottom);
    absl::StrAppend(&svg, text(x + 4, Top + 12 + 14 * (row++ % Heights),
                               "start", mark.Name));
  }
  return svg;
}

std::string path(const PlotLine &line, const Scale &scale) {
  const std::size_t step =
      std::max<std::size_t>(1, line.Points.size() / MaxPoints);
  std::string path;
  const auto add = [&](const PlotPoint &point) {
    absl::StrAppendFormat(&path, "%s%.1f %.1f", path.empty() ? "M" : "L",
                          scale.x(point.X), scale.y(point.Y));
  };
  for (std::size_t i = 0; i < line.Points.size(); i += step)
    add(line.Points[i]);
  // Thinning must keep the last point.
  if (!line.Points.empty() && (line.Points.size() - 1) % step != 0)
    add(line.Points.back());
  return path;
}

// Returns the style of line number `row`.
std::string strokeOf(std::size_t row) {
  return absl::StrFormat("fill=\"none\" stroke=\"%s\" stroke-dasharray=\"%s\"",
                         Colours[row % Colours.size()],
                         Dashes[row / Colours.size() % Dashes.size()]);
}

std::string legend(std::size_t row, absl::string_view name) {
  const double y = Top + LegendStep * static_cast<double>(row);
  return absl::StrCat(
      absl::StrFormat("<path d=\"M%.1f %.1fh18\" %s stroke-width=\"3\"/>\n",
                      Width - Right + 10, y, strokeOf(row)),
      text(Width - Right + 34, y + 4, "start", name));
}

} // namespace

std::string renderSvg(const Plot &plot) {
  const Scale scale = scaleOf(plot);
  const double height = heightOf(plot);
  std::string svg = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%g\" height=\"%g\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      Width, height);
  absl::StrAppend(
      &svg, text(Left, Top - 22, "start", plot.Title), grid(scale),
      text((Left + Width - Right) / 2, height - 12, "middle", plot.XLabel),
      text(Left - 6, Top - 8, "end", plot.YLabel));
  std::size_t row = 0;
  for (const PlotLine &line : plot.Lines) {
    absl::StrAppendFormat(&svg, "<path d=\"%s\" %s stroke-width=\"1.5\"/>\n",
                          path(line, scale), strokeOf(row));
    absl::StrAppend(&svg, legend(row++, line.Name));
  }
  return absl::StrCat(svg, marks(plot, scale), "</svg>\n");
}

} // namespace jujube::load
