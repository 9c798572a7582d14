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

// Pixels.
constexpr double Width = 860;
constexpr double Height = 420;
constexpr double Left = 70;
constexpr double Right = 190;
constexpr double Top = 40;
constexpr double Bottom = 50;
constexpr double LegendStep = 18;
constexpr int GridLines = 5;
constexpr std::size_t MaxPoints = 600;

constexpr std::array<absl::string_view, 8> Colours = {
    "#1f77b4", "#d62728", "#2ca02c", "#ff7f0e",
    "#9467bd", "#8c564b", "#17becf", "#7f7f7f"};

std::string escape(absl::string_view text) {
  return absl::StrReplaceAll(text,
                             {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}});
}

// The next value of the form 1, 2 or 5 times a power of ten.
double roundUp(double value) {
  if (value <= 0)
    return 1;
  const double power = std::pow(10, std::floor(std::log10(value)));
  for (const double factor : {1.0, 2.0, 5.0})
    if (value <= factor * power)
      return factor * power;
  return 10 * power;
}

// Maps values to pixels.
struct Scale {
  double MaxX = 1;
  double MaxY = 1;

  static Scale of(const Plot &plot) {
    double x = 0;
    double y = 0;
    for (const PlotLine &line : plot.Lines)
      for (const PlotPoint &point : line.Points) {
        x = std::max(x, point.X);
        y = std::max(y, point.Y);
      }
    for (const PlotLevel &level : plot.Levels)
      y = std::max(y, level.Y);
    return {x > 0 ? x : 1, roundUp(y)};
  }
  double x(double value) const {
    return Left + value / MaxX * (Width - Left - Right);
  }
  double y(double value) const {
    return Height - Bottom - value / MaxY * (Height - Top - Bottom);
  }
};

std::string text(double x, double y, absl::string_view anchor,
                 absl::string_view content) {
  return absl::StrFormat(
      "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
      anchor, escape(content));
}

std::string grid(const Scale &scale) {
  std::string svg;
  for (int i = 0; i <= GridLines; ++i) {
    const double x = scale.MaxX * i / GridLines;
    const double y = scale.MaxY * i / GridLines;
    absl::StrAppendFormat(&svg,
                          "<path d=\"M%.1f %.1fH%.1f\" stroke=\"#ddd\"/>\n",
                          Left, scale.y(y), Width - Right);
    absl::StrAppend(
        &svg, text(Left - 6, scale.y(y) + 4, "end", absl::StrFormat("%g", y)),
        text(scale.x(x), Height - Bottom + 18, "middle",
             absl::StrFormat("%.4g", x)));
  }
  return svg;
}

std::string path(const PlotLine &line, const Scale &scale) {
  const std::size_t step =
      std::max<std::size_t>(1, line.Points.size() / MaxPoints);
  std::string path;
  for (std::size_t i = 0; i < line.Points.size(); i += step)
    absl::StrAppendFormat(&path, "%s%.1f %.1f", path.empty() ? "M" : "L",
                          scale.x(line.Points[i].X), scale.y(line.Points[i].Y));
  return path;
}

std::string legend(std::size_t row, absl::string_view colour,
                   absl::string_view name) {
  const double y = Top + LegendStep * static_cast<double>(row);
  return absl::StrCat(
      absl::StrFormat(
          "<path d=\"M%.1f %.1fh18\" stroke=\"%s\" stroke-width=\"3\"/>\n",
          Width - Right + 10, y, colour),
      text(Width - Right + 34, y + 4, "start", name));
}

} // namespace

std::string renderSvg(const Plot &plot) {
  const Scale scale = Scale::of(plot);
  std::string svg = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%g\" height=\"%g\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      Width, Height);
  absl::StrAppend(
      &svg, text(Left, Top - 16, "start", plot.Title), grid(scale),
      text((Left + Width - Right) / 2, Height - 12, "middle", plot.XLabel),
      text(Left - 6, Top - 2, "end", plot.YLabel));
  std::size_t row = 0;
  for (const PlotLine &line : plot.Lines) {
    const absl::string_view colour = Colours[row % Colours.size()];
    absl::StrAppendFormat(&svg,
                          "<path d=\"%s\" fill=\"none\" stroke=\"%s\"/>\n",
                          path(line, scale), colour);
    absl::StrAppend(&svg, legend(row++, colour, line.Name));
  }
  for (const PlotLevel &level : plot.Levels) {
    const absl::string_view colour = Colours[row % Colours.size()];
    absl::StrAppendFormat(&svg,
                          "<path d=\"M%.1f %.1fH%.1f\" stroke=\"%s\" "
                          "stroke-dasharray=\"6 4\"/>\n",
                          Left, scale.y(level.Y), Width - Right, colour);
    absl::StrAppend(&svg, legend(row++, colour, level.Name));
  }
  return svg + "</svg>\n";
}

} // namespace jujube::load
