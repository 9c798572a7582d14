// Renders line plots as SVG text. Does no I/O.
#ifndef JUJUBE_LOAD_SVG_H_
#define JUJUBE_LOAD_SVG_H_

#include <string>
#include <vector>

namespace jujube::load {

struct PlotPoint {
  double X = 0;
  double Y = 0;
};

struct PlotLine {
  std::string Name;
  std::vector<PlotPoint> Points;
};

// An event at one x position, drawn as a dashed line over the full height.
struct PlotMark {
  std::string Name;
  double X = 0;
};

// The scale of the x axis; both scales start at 0.
enum class XAxis {
  Linear,
  // Logarithm of 1 + x, with a tick at each power of ten.
  Log,
};

struct Plot {
  std::string Title;
  std::string XLabel;
  std::string YLabel;
  std::vector<PlotLine> Lines;
  std::vector<PlotMark> Marks;
  XAxis Axis = XAxis::Linear;
};

// Renders a plot with axes, grid and legend. Colours are reused with different
// dash patterns; lines with many points are thinned to the width in pixels.
std::string renderSvg(const Plot &plot);

} // namespace jujube::load

#endif // JUJUBE_LOAD_SVG_H_
